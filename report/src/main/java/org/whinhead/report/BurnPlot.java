package org.whinhead.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Date;
import java.util.List;
import java.util.SortedMap;
import java.util.TimeZone;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler.LegendLayout;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws a report's course over the longest window as PNG pictures. */
final class BurnPlot {

    /** The most lines in one picture; more cannot be told apart. */
    static final int MOST_LINES = 8;

    private static final int WIDTH = 1040;
    private static final int HEIGHT = 340;
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final String ALLOWANCE = "allowance";
    private static final int MOST_NAME_CHARACTERS = 28;
    private static final float LINE_WIDTH = 1.6f;

    private final FleetReport mReport;
    private final long mLast;
    private final long mFirst;

    BurnPlot(final FleetReport report) {
        mReport = report;
        mLast = Math.floorDiv(report.asOf().toEpochMilli(), MILLIS_PER_MINUTE);
        mFirst = mLast - Window.LONG.length().toMinutes() + 1;
    }

    /** Draws a promise's burn, at each minute over the short window that ends there. */
    byte[] burn(final ServiceLevel level) throws IOException {
        final XYChart chart = chart("burn over " + Window.SHORT.title());
        add(chart, ALLOWANCE, List.of(mFirst, mLast), List.of(1.0, 1.0));
        chart.getSeriesMap().get(ALLOWANCE).setLineColor(Color.GRAY);
        for (final FleetReport.Line line : worst(level)) {
            final SortedMap<Long, Counts> minutes = minutes(line);
            final List<Long> numbers = new ArrayList<>();
            final List<Double> values = new ArrayList<>();
            for (long number = mFirst; number <= mLast; number++) {
                numbers.add(number);
                values.add(level.burn(recent(minutes, number), line.objective()));
            }
            add(chart, nameIn(chart, line.key()), numbers, values);
        }
        return draw(chart);
    }

    /** Draws the tokens of all customers by minute. */
    byte[] tokens() throws IOException {
        final SortedMap<Long, Counts> sums = new TreeMap<>();
        for (final FleetReport.Line line : mReport.lines()) {
            minutes(line).forEach((number, counts) -> sums.merge(number, counts, Counts::plus));
        }
        final List<Long> numbers = new ArrayList<>();
        final List<Double> generated = new ArrayList<>();
        final List<Double> recomputed = new ArrayList<>();
        for (long number = mFirst; number <= mLast; number++) {
            final Counts counts = sums.getOrDefault(number, Counts.NONE);
            numbers.add(number);
            generated.add((double) counts.generatedTokens());
            recomputed.add((double) counts.recomputedTokens());
        }
        final XYChart chart = chart("tokens a minute");
        add(chart, "generated", numbers, generated);
        add(chart, "recomputed", numbers, recomputed);
        return draw(chart);
    }

    /** Returns the lines with the most misses for their allowance. */
    private List<FleetReport.Line> worst(final ServiceLevel level) {
        return mReport.lines().stream()
                .sorted(
                        Comparator.comparingDouble(
                                        (FleetReport.Line line) -> line.burn(level, Window.LONG))
                                .reversed())
                .limit(MOST_LINES)
                .toList();
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

    /** Two long names may be cut to the same text, and a chart takes each name once. */
    private static String nameIn(final XYChart chart, final SeriesKey key) {
        final String whole = key.customer() + ", " + key.tier();
        final String name =
                whole.length() <= MOST_NAME_CHARACTERS
                        ? whole
                        : whole.substring(0, MOST_NAME_CHARACTERS - 1) + "…";
        return chart.getSeriesMap().containsKey(name)
                ? name + " (" + chart.getSeriesMap().size() + ")"
                : name;
    }

    private static XYChart chart(final String yTitle) {
        final XYChart chart =
                new XYChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle(yTitle).build();
        chart.getStyler().setLegendPosition(LegendPosition.OutsideS);
        chart.getStyler().setLegendLayout(LegendLayout.Horizontal);
        chart.getStyler().setLegendBorderColor(Color.WHITE);
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setPlotBorderVisible(false);
        chart.getStyler().setDatePattern("HH:mm");
        chart.getStyler().setTimezone(TimeZone.getTimeZone("UTC"));
        chart.getStyler().setYAxisDecimalPattern("#,##0.##");
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setAntiAlias(true);
        return chart;
    }

    private static void add(
            final XYChart chart,
            final String name,
            final List<Long> numbers,
            final List<Double> values) {
        final List<Date> times =
                numbers.stream().map(number -> new Date(number * MILLIS_PER_MINUTE)).toList();
        final XYSeries series = chart.addSeries(name, times, values);
        series.setMarker(SeriesMarkers.NONE);
        series.setLineStyle(new BasicStroke(LINE_WIDTH));
    }

    private static byte[] draw(final XYChart chart) throws IOException {
        return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    }
}
