package org.whinhead.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Service-level burn over all daemons that answered.
 *
 * @param asOf when it was collected
 * @param pricePerHour what all VMs cost an hour, if the cloud told
 * @param lines one line for each customer and tier
 * @param collected daemons that answered
 * @param missing daemons that did not answer, with the cause
 * @param notes what else the reader should know, for example daemons that began to count lately
 */
public record FleetReport(
        Instant asOf,
        OptionalDouble pricePerHour,
        List<Line> lines,
        List<String> collected,
        List<String> missing,
        List<String> notes) {

    private static final int MINUTES_PER_HOUR = 60;
    private static final double THOUSAND = 1_000;

    /** Copies the lists. */
    public FleetReport {
        lines = List.copyOf(lines);
        collected = List.copyOf(collected);
        missing = List.copyOf(missing);
        notes = List.copyOf(notes);
    }

    /**
     * The counts of one customer in one tier over all daemons.
     *
     * @param key whose
     * @param objective what the tier promises
     * @param windows the sums by window
     * @param minutes the sums by minute, oldest first
     */
    public record Line(
            SeriesKey key, Objective objective, Map<Window, Counts> windows, List<Minute> minutes) {

        /** Copies the collections. */
        public Line {
            windows = Map.copyOf(windows);
            minutes = List.copyOf(minutes);
        }

        /**
         * Returns how fast an allowance is used up.
         *
         * @param level which promise
         * @param window over which span
         * @return the burn rate
         */
        public double burn(final ServiceLevel level, final Window window) {
            return level.burn(windows.getOrDefault(window, Counts.NONE), objective);
        }
    }

    /**
     * Adds up what the daemons counted.
     *
     * @param reports the daemons' reports
     * @param missing daemons that did not answer, with the cause
     * @param objectives the promises by tier
     * @param pricePerHour what all VMs cost an hour, if the cloud told
     * @param now the time
     * @return the whole report
     */
    public static FleetReport merge(
            final List<DaemonReport> reports,
            final List<String> missing,
            final Map<String, Objective> objectives,
            final OptionalDouble pricePerHour,
            final Instant now) {
        final List<String> notes = new ArrayList<>();
        final SortedMap<SeriesKey, SortedMap<Long, Counts>> sums = new TreeMap<>();
        for (final DaemonReport report : reports) {
            noteGaps(report, now, notes);
            for (final DaemonReport.Series series : report.series()) {
                final SortedMap<Long, Counts> minutes =
                        sums.computeIfAbsent(series.key(), key -> new TreeMap<>());
                for (final Minute minute : series.minutes()) {
                    minutes.merge(minute.number(), minute.counts(), Counts::plus);
                }
            }
        }
        final List<Line> lines = new ArrayList<>();
        sums.forEach(
                (key, minutes) -> {
                    final Objective objective = objectives.get(key.tier());
                    if (objective == null) {
                        notes.add("tier " + key.tier() + " has no objective in force");
                    } else {
                        lines.add(line(key, objective, minutes, now));
                    }
                });
        final List<String> collected =
                reports.stream().map(report -> report.daemon().value()).sorted().toList();
        return new FleetReport(
                now, pricePerHour, lines, collected, missing, notes.stream().distinct().toList());
    }

    /**
     * Adds up all customers and tiers.
     *
     * @param window over which span
     * @return the sums
     */
    public Counts total(final Window window) {
        return lines.stream()
                .map(line -> line.windows().getOrDefault(window, Counts.NONE))
                .reduce(Counts.NONE, Counts::plus);
    }

    /**
     * Returns the price of a thousand completed requests over a window, at the present price.
     *
     * @param window over which span
     * @return the price, or empty if it is not known or nothing was completed
     */
    public OptionalDouble pricePerThousand(final Window window) {
        final long completed = total(window).good();
        if (pricePerHour.isEmpty() || completed == 0) {
            return OptionalDouble.empty();
        }
        final double hours = window.length().toMinutes() / (double) MINUTES_PER_HOUR;
        return OptionalDouble.of(pricePerHour.getAsDouble() * hours * THOUSAND / completed);
    }

    private static void noteGaps(
            final DaemonReport report, final Instant now, final List<String> notes) {
        final Duration age = Duration.between(report.since(), now);
        if (age.compareTo(Window.LONG.length()) < 0) {
            notes.add(report.daemon() + " counts only since " + report.since());
        }
        if (report.leftOut() > 0) {
            notes.add(report.daemon() + " left out " + report.leftOut() + " requests");
        }
    }

    private static Line line(
            final SeriesKey key,
            final Objective objective,
            final SortedMap<Long, Counts> minutes,
            final Instant now) {
        final Map<Window, Counts> windows = new EnumMap<>(Window.class);
        final long thisMinute = now.getEpochSecond() / Duration.ofMinutes(1).toSeconds();
        for (final Window window : Window.values()) {
            final long first = thisMinute - window.length().toMinutes() + 1;
            final Counts sum =
                    minutes.tailMap(first).values().stream().reduce(Counts.NONE, Counts::plus);
            windows.put(window, sum);
        }
        final List<Minute> list = new ArrayList<>();
        minutes.forEach((number, counts) -> list.add(new Minute(number, counts)));
        return new Line(key, objective, windows, list);
    }
}
