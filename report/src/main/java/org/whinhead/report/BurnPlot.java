package org.whinhead.report;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws a report's course over time as PNG pictures. */
final class BurnPlot {

    private static final int WIDTH = 960;
    private static final int HEIGHT = 320;
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final int MOST_SERIES = 12;

    private BurnPlot() {}

    static byte[] availability(final FleetReport report) throws IOException {
        final XYChart chart = chart("burn");
        for (final FleetReport.Line line : report.lines().stream().limit(MOST_SERIES).toList()) {
            final List<Date> times = new ArrayList<>();
            final List<Double> values = new ArrayList<>();
            for (final Minute minute : line.minutes()) {
                times.add(timeOf(minute.number()));
                values.add(ServiceLevel.AVAILABILITY.burn(minute.counts(), line.objective()));
            }
            add(chart, line.key().customer() + ", " + line.key().tier(), times, values);
        }
        return draw(chart);
    }

    static byte[] tokens(final FleetReport report) throws IOException {
        final SortedMap<Long, Counts> sums = new TreeMap<>();
        for (final FleetReport.Line line : report.lines()) {
            line.minutes()
                    .forEach(minute -> sums.merge(minute.number(), minute.counts(), Counts::plus));
        }
        final List<Date> times = new ArrayList<>();
        final List<Double> generated = new ArrayList<>();
        final List<Double> recomputed = new ArrayList<>();
        sums.forEach(
                (number, counts) -> {
                    times.add(timeOf(number));
                    generated.add((double) counts.generatedTokens());
                    recomputed.add((double) counts.recomputedTokens());
                });
        final XYChart chart = chart("tokens");
        add(chart, "generated", times, generated);
        add(chart, "recomputed", times, recomputed);
        return draw(chart);
    }

    private static XYChart chart(final String yTitle) {
        final XYChart chart =
                new XYChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle(yTitle).build();
        chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
        chart.getStyler().setDatePattern("HH:mm");
        chart.getStyler().setYAxisMin(0.0);
        return chart;
    }

    private static void add(
            final XYChart chart,
            final String name,
            final List<Date> times,
            final List<Double> values) {
        if (!times.isEmpty()) {
            final XYSeries series = chart.addSeries(name, times, values);
            series.setMarker(SeriesMarkers.NONE);
        }
    }

    private static Date timeOf(final long minute) {
        return new Date(minute * MILLIS_PER_MINUTE);
    }

    private static byte[] draw(final XYChart chart) throws IOException {
        return BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG);
    }
}
