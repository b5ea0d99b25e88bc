package org.whinhead.report;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Service-level burn over all daemons that answered.
 *
 * @param asOf when it was collected
 * @param since when the first of the daemons that answered began to count
 * @param pricePerHour what all VMs cost an hour, if the cloud told
 * @param lines one line for each customer and tier
 * @param collected daemons that answered
 * @param missing daemons that did not answer, with the cause
 * @param notes what else the reader should know, for example daemons that began to count lately
 */
public record FleetReport(
        Instant asOf,
        Instant since,
        OptionalDouble pricePerHour,
        List<Line> lines,
        List<String> collected,
        List<String> missing,
        List<String> notes) {

    private static final double SECONDS_PER_HOUR = Duration.ofHours(1).toSeconds();
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
            SeriesKey key,
            Objective objective,
            Map<Window, Counts> windows,
            List<MinuteCounts> minutes) {

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
        public double burnRate(final ServiceLevelIndicator level, final Window window) {
            return level.burnRate(counts(window), objective);
        }

        /**
         * Returns the sums over a window.
         *
         * @param window over which span
         * @return the sums; zeros if nothing was counted
         */
        public Counts counts(final Window window) {
            return windows.getOrDefault(window, Counts.NONE);
        }
    }

    /** Tells whether every daemon answered. */
    public boolean isComplete() {
        return missing.isEmpty();
    }

    /** Returns the names of the tiers, sorted. */
    public List<String> tiers() {
        return lines.stream().map(line -> line.key().tier()).distinct().sorted().toList();
    }

    /**
     * Adds up all customers of a tier.
     *
     * @param tier the tier's name
     * @param window over which span
     * @return the sums
     */
    public Counts total(final String tier, final Window window) {
        return lines.stream()
                .filter(line -> line.key().tier().equals(tier))
                .map(line -> line.counts(window))
                .reduce(Counts.NONE, Counts::plus);
    }

    /**
     * Adds up all customers and tiers.
     *
     * @param window over which span
     * @return the sums
     */
    public Counts total(final Window window) {
        return lines.stream().map(line -> line.counts(window)).reduce(Counts.NONE, Counts::plus);
    }

    /**
     * Returns the price of a thousand completed requests over a window, or over the part of it in
     * which any daemon counted, at the present price.
     *
     * @param window over which span
     * @return the price, or empty if it is not known or nothing was completed
     */
    public OptionalDouble costPerThousandCompleted(final Window window) {
        final long completed = total(window).good();
        if (pricePerHour.isEmpty() || completed == 0) {
            return OptionalDouble.empty();
        }
        final long counted = Duration.between(since, asOf).toSeconds();
        final long seconds = Math.min(window.length().toSeconds(), Math.max(counted, 1));
        final double hours = seconds / SECONDS_PER_HOUR;
        return OptionalDouble.of(pricePerHour.getAsDouble() * hours * THOUSAND / completed);
    }
}
