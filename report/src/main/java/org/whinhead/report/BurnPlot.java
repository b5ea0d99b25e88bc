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
 * Draws a report's course over the longest window as PNG pictures. All pictures of burn show the
 * same lines in the same colours, and the page has the legend: a chart would cut off long names.
 */
final class BurnPlot {

    /** Colours that also the colour-blind can tell apart. */
    private static final List<Color> COLOURS =
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
    private static final long FEWEST_MINUTES = 30;
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final String ALLOWANCE = "allowance";
    private static final int HEX_DIGITS = 0xffffff;
    private static final float LINE_WIDTH = 1.6f;

    private static final float DASH = 6f;

    private final FleetReport mReport;
    private final List<FleetReport.Line> mShown;
    private final long mLast;
    private final long mFirst;

    BurnPlot(final FleetReport report) {
        mReport = report;
        mLast = Math.floorDiv(report.asOf().toEpochMilli(), MILLIS_PER_MINUTE);
        mFirst = firstMinute(report);
        mShown =
                report.lines().stream()
                        .sorted(Comparator.comparingDouble(BurnPlot::highestBurn).reversed())
                        .limit(COLOURS.size())
                        .toList();
    }

    /** Leaves out the time before any daemon counted, which would look like good service. */
    private long firstMinute(final FleetReport report) {
        final long earliest = mLast - Window.LONG.length().toMinutes() + 1;
        final long since = Math.floorDiv(report.since().toEpochMilli(), MILLIS_PER_MINUTE);
        return Math.min(Math.max(earliest, since), mLast - FEWEST_MINUTES + 1);
    }

    /** Returns the lines that are drawn: those with the highest burn. */
    List<FleetReport.Line> shown() {
        return mShown;
    }

    /** Returns the colour of a drawn line as CSS takes it. */
    static String colour(final int line) {
        return String.format(Locale.ROOT, "#%06x", COLOURS.get(line).getRGB() & HEX_DIGITS);
    }

    /** Tells whether any drawn line missed a promise at all. */
    boolean hasBurn(final ServiceLevel level) {
        return mShown.stream().anyMatch(line -> line.burn(level, Window.LONG) > 0);
    }

    /** Draws a promise's burn, at each minute over the short window that ends there. */
    byte[] burn(final ServiceLevel level) throws IOException {
        final XYChart chart = chart("burn over " + Window.SHORT.title());
        for (int index = 0; index < mShown.size(); index++) {
            final FleetReport.Line line = mShown.get(index);
            final SortedMap<Long, Counts> minutes = minutes(line);
            final List<Double> values = new ArrayList<>();
            for (long number = mFirst; number <= mLast; number++) {
                values.add(level.burn(recent(minutes, number), line.objective()));
            }
            add(chart, String.valueOf(index), values, COLOURS.get(index));
        }
        final List<Double> ones = Collections.nCopies((int) (mLast - mFirst + 1), 1.0);
        add(chart, ALLOWANCE, ones, Color.GRAY)
                .setLineStyle(
                        new BasicStroke(
                                1,
                                BasicStroke.CAP_BUTT,
                                BasicStroke.JOIN_ROUND,
                                1,
                                new float[] {DASH, DASH},
                                0));
        return draw(chart);
    }

    /** Draws the tokens of all customers by minute. */
    byte[] tokens() throws IOException {
        final SortedMap<Long, Counts> sums = new TreeMap<>();
        for (final FleetReport.Line line : mReport.lines()) {
            minutes(line).forEach((number, counts) -> sums.merge(number, counts, Counts::plus));
        }
        final List<Double> generated = new ArrayList<>();
        final List<Double> recomputed = new ArrayList<>();
        for (long number = mFirst; number <= mLast; number++) {
            final Counts counts = sums.getOrDefault(number, Counts.NONE);
            generated.add((double) counts.generatedTokens());
            recomputed.add((double) counts.recomputedTokens());
        }
        final XYChart chart = chart("tokens a minute");
        add(chart, "generated", generated, COLOURS.get(0));
        add(chart, "recomputed", recomputed, COLOURS.get(1));
        return draw(chart);
    }

    private static double highestBurn(final FleetReport.Line line) {
        return Arrays.stream(ServiceLevel.values())
                .mapToDouble(level -> line.burn(level, Window.LONG))
                .max()
                .orElse(0);
    }

    private static SortedMap<Long, Counts> minutes(final FleetReport.Line line) {
        final SortedMap<Long, Counts> minutes = new TreeMap<>();
        line.minutes().forEach(minute -> minutes.put(minute.number(), minute.counts()));
        return minutes;
    }

    private static Counts recent(final SortedMap<Long, Counts> minutes, final long number) {
        final long first = number - Window.SHORT.length().toMinutes() + 1;
        return minutes.subMap(first, number + 1).values().stream()
                .reduce(Counts.NONE, Counts::plus);
    }

    private XYChart chart(final String yTitle) {
        final XYChart chart =
                new XYChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle(yTitle).build();
        chart.getStyler().setLegendVisible(false);
        chart.getStyler().setXAxisMin((double) mFirst * MILLIS_PER_MINUTE);
        chart.getStyler().setXAxisMax((double) mLast * MILLIS_PER_MINUTE);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setPlotBorderVisible(false);
        chart.getStyler().setDatePattern("HH:mm");
        chart.getStyler().setTimezone(TimeZone.getTimeZone("UTC"));
        chart.getStyler().setYAxisDecimalPattern("#,##0.##");
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setAntiAlias(true);
        return chart;
    }

    private XYSeries add(
            final XYChart chart, final String name, final List<Double> values, final Color colour) {
        final List<Date> times =
                LongStream.rangeClosed(mFirst, mLast)
                        .mapToObj(number -> new Date(number * MILLIS_PER_MINUTE))
                        .toList();
        final XYSeries series = chart.addSeries(name, times, values);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineColor(colour);
        series.setLineStyle(new BasicStroke(LINE_WIDTH));
        return series;
    }

    private static byte[] draw(final XYChart chart) throws IOException {
        return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    }
}
