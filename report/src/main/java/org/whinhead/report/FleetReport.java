package org.whinhead.report;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The merged report of all daemons that answered.
 *
 * @param asOf the time of the newest daemon report
 * @param since the earliest time at which one of the daemons that answered began to count
 * @param pricePerHour the price of all VMs per hour, if known
 * @param lines one line for each customer and tier
 * @param collected the names of daemons that answered
 * @param missing daemons that did not answer, with the cause
 * @param notes limits of the report, for example daemons that began to count recently
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
     * @param key the customer and tier
     * @param objective the tier's objective
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
         * Returns the speed at which an allowance for misses is used up.
         *
         * @param level the service-level indicator
         * @param window the time window
         * @return the burn rate; 1 uses up exactly the allowance
         */
        public double burnRate(final ServiceLevelIndicator level, final Window window) {
            return level.burnRate(counts(window), objective);
        }

        /**
         * Returns the sums over a window.
         *
         * @param window the time window
         * @return the sums; zeros if the window has no requests
         */
        public Counts counts(final Window window) {
            return windows.getOrDefault(window, Counts.NONE);
        }
    }

    /** Returns whether every daemon answered. */
    public boolean isComplete() {
        return missing.isEmpty();
    }

    /** Returns the names of the tiers, sorted. */
    public List<String> tiers() {
        return lines.stream().map(line -> line.key().tier()).distinct().sorted().toList();
    }

    /**
     * Returns the sums of all customers of a tier.
     *
     * @param tier the tier's name
     * @param window the time window
     * @return the sums
     */
    public Counts total(final String tier, final Window window) {
        return lines.stream()
                .filter(line -> line.key().tier().equals(tier))
                .map(line -> line.counts(window))
                .reduce(Counts.NONE, Counts::plus);
    }

    /**
     * Returns the sums of all customers and tiers.
     *
     * @param window the time window
     * @return the sums
     */
    public Counts total(final Window window) {
        return lines.stream().map(line -> line.counts(window)).reduce(Counts.NONE, Counts::plus);
    }

    /**
     * Returns the cost of a thousand completed requests at the present price, over a window or over
     * the part of it in which at least one daemon counted.
     *
     * @param window the time window
     * @return the cost; empty if the price is unknown or no request completed
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
