package org.whinhead.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.Date;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TimeZone;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Draws a report's history over the longest window as PNG charts. All burn rate charts show the
 * same lines in the same colors. The page has the legend, because a chart cuts off long names.
 */
final class BurnPlot {

    /** Colors that remain distinguishable with color blindness. */
    private static final List<Color> COLORS =
            List.of(
                    new Color(0x0072b2),
                    new Color(0xd55e00),
                    new Color(0x009e73),
                    new Color(0xcc79a7),
                    new Color(0xe69f00),
                    new Color(0x56b4e9),
                    new Color(0x6a3d9a),
                    new Color(0x1b1f24));

    private static final int WIDTH = 1040;
    private static final int HEIGHT = 340;
    private static final long MIN_MINUTES = 30;
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final String ALLOWANCE_SERIES = "allowance";
    private static final int RGB_MASK = 0xffffff;
    private static final float LINE_WIDTH = 1.6f;

    private static final float DASH_LENGTH = 6f;

    private final FleetReport mReport;
    private final List<FleetReport.Line> mPlottedLines;
    private final long mLastMinute;
    private final long mFirstMinute;

    BurnPlot(final FleetReport report) {
        mReport = report;
        mLastMinute = Math.floorDiv(report.asOf().toEpochMilli(), MILLIS_PER_MINUTE);
        mFirstMinute = firstMinute(report);
        mPlottedLines =
                report.lines().stream()
                        .sorted(Comparator.comparingDouble(BurnPlot::maxBurnRate).reversed())
                        .limit(COLORS.size())
                        .toList();
    }

    /** Returns the first minute with counts; earlier ones would look like good service. */
    private long firstMinute(final FleetReport report) {
        final long earliest = mLastMinute - Window.LONG.length().toMinutes() + 1;
        final long since = Math.floorDiv(report.since().toEpochMilli(), MILLIS_PER_MINUTE);
        return Math.min(Math.max(earliest, since), mLastMinute - MIN_MINUTES + 1);
    }

    /** Returns the lines with the highest burn rates, which the charts show. */
    List<FleetReport.Line> plottedLines() {
        return mPlottedLines;
    }

    /** Returns the color of a plotted line in CSS notation. */
    static String cssColor(final int line) {
        return String.format(Locale.ROOT, "#%06x", COLORS.get(line).getRGB() & RGB_MASK);
    }

    /** Returns whether any plotted line has a miss of the indicator in the longest window. */
    boolean hasMisses(final ServiceLevelIndicator level) {
        return mPlottedLines.stream().anyMatch(line -> line.burnRate(level, Window.LONG) > 0);
    }

    /** Draws an indicator's burn rate, at each minute over the short window that ends there. */
    byte[] drawBurnRate(final ServiceLevelIndicator level) throws IOException {
        final XYChart chart = createChart("burn over " + Window.SHORT.title());
        for (int index = 0; index < mPlottedLines.size(); index++) {
            final FleetReport.Line line = mPlottedLines.get(index);
            final SortedMap<Long, Counts> minutes = countsByMinute(line);
            final List<Double> values = new ArrayList<>();
            for (long minute = mFirstMinute; minute <= mLastMinute; minute++) {
                values.add(level.burnRate(countsInShortWindow(minutes, minute), line.objective()));
            }
            addSeries(chart, String.valueOf(index), values, COLORS.get(index));
        }
        final List<Double> ones = Collections.nCopies((int) (mLastMinute - mFirstMinute + 1), 1.0);
        addSeries(chart, ALLOWANCE_SERIES, ones, Color.GRAY)
                .setLineStyle(
                        new BasicStroke(
                                1,
                                BasicStroke.CAP_BUTT,
                                BasicStroke.JOIN_ROUND,
                                1,
                                new float[] {DASH_LENGTH, DASH_LENGTH},
                                0));
        return encodePng(chart);
    }

    /** Draws the tokens of all customers per minute. */
    byte[] drawTokens() throws IOException {
        final SortedMap<Long, Counts> sums = new TreeMap<>();
        for (final FleetReport.Line line : mReport.lines()) {
            countsByMinute(line)
                    .forEach((minute, counts) -> sums.merge(minute, counts, Counts::plus));
        }
        final List<Double> generated = new ArrayList<>();
        final List<Double> recomputed = new ArrayList<>();
        for (long minute = mFirstMinute; minute <= mLastMinute; minute++) {
            final Counts counts = sums.getOrDefault(minute, Counts.NONE);
            generated.add((double) counts.generatedTokens());
            recomputed.add((double) counts.recomputedTokens());
        }
        final XYChart chart = createChart("tokens per minute");
        addSeries(chart, "generated", generated, COLORS.get(0));
        addSeries(chart, "recomputed", recomputed, COLORS.get(1));
        return encodePng(chart);
    }

    private static double maxBurnRate(final FleetReport.Line line) {
        return Arrays.stream(ServiceLevelIndicator.values())
                .mapToDouble(level -> line.burnRate(level, Window.LONG))
                .max()
                .orElse(0);
    }

    private static SortedMap<Long, Counts> countsByMinute(final FleetReport.Line line) {
        final SortedMap<Long, Counts> minutes = new TreeMap<>();
        line.minutes().forEach(minute -> minutes.put(minute.epochMinute(), minute.counts()));
        return minutes;
    }

    private static Counts countsInShortWindow(
            final SortedMap<Long, Counts> minutes, final long minute) {
        final long first = minute - Window.SHORT.length().toMinutes() + 1;
        return minutes.subMap(first, minute + 1).values().stream()
                .reduce(Counts.NONE, Counts::plus);
    }

    private XYChart createChart(final String yTitle) {
        final XYChart chart =
                new XYChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle(yTitle).build();
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisMin((double) mFirstMinute * MILLIS_PER_MINUTE);
        chart.getStyler().setXAxisMax((double) mLastMinute * MILLIS_PER_MINUTE);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setPlotBorderVisible(false);
        chart.getStyler().setDatePattern("HH:mm");
        chart.getStyler().setTimezone(TimeZone.getTimeZone("UTC"));
        chart.getStyler().setYAxisDecimalPattern("#,##0.##");
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setAntiAlias(true);
        return chart;
    }

    private XYSeries addSeries(
            final XYChart chart, final String name, final List<Double> values, final Color color) {
        final List<Date> times =
                LongStream.rangeClosed(mFirstMinute, mLastMinute)
                        .mapToObj(minute -> new Date(minute * MILLIS_PER_MINUTE))
                        .toList();
        final XYSeries series = chart.addSeries(name, times, values);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineColor(color);
        series.setLineStyle(new BasicStroke(LINE_WIDTH));
        return series;
    }

    private static byte[] encodePng(final XYChart chart) throws IOException {
        return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    }
}
