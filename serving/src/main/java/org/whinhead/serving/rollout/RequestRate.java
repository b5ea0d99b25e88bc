package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures the requests per second of all daemons from the totals that each of them reports.
 *
 * <p>The first total of a daemon, and one after a pause, include requests from long before. They
 * are the starting point of the daemon's rate and not part of it; otherwise the rate would jump
 * whenever the lease holder changes, or a daemon that was cut off reports again.
 */
final class RequestRate {

    /** The time window over which the rate is measured. */
    private static final Duration WINDOW = Duration.ofMillis(2_000);

    /** The shortest time over which a daemon's rate is measured. */
    private static final Duration MIN_SPAN = Duration.ofMillis(500);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Deque<Sample>> mDaemons = new HashMap<>();

    /**
     * Adds a daemon's report.
     *
     * @param daemon the name of the daemon's process
     * @param requests the total number of its requests
     * @param now the current time
     */
    void addReport(final String daemon, final long requests, final Instant now) {
        final Deque<Sample> samples = mDaemons.computeIfAbsent(daemon, name -> new ArrayDeque<>());
        if (!isReporting(samples, now)) {
            samples.clear();
        }
        samples.addLast(new Sample(now, requests));
        while (samples.peekFirst().at().isBefore(now.minus(WINDOW))) {
            samples.removeFirst();
        }
    }

    /**
     * Returns the sum of the daemons' rates. A daemon whose rate is unknown counts with the others'
     * mean.
     *
     * @param now the current time
     * @return requests per second; 0 if no daemon's rate is known
     */
    double perSecond(final Instant now) {
        double sum = 0;
        int measured = 0;
        int reporting = 0;
        for (final Deque<Sample> samples : mDaemons.values()) {
            if (isReporting(samples, now)) {
                reporting++;
                final Sample first = samples.peekFirst();
                final Sample last = samples.peekLast();
                final Duration span = Duration.between(first.at(), last.at());
                if (span.compareTo(MIN_SPAN) >= 0) {
                    measured++;
                    sum +=
                            (last.requests() - first.requests())
                                    * MILLIS_PER_SECOND
                                    / span.toMillis();
                }
            }
        }
        return measured == 0 ? 0 : sum * reporting / measured;
    }

    /**
     * Returns the mean age of the daemons' last reports.
     *
     * @param now the current time
     * @return zero if no daemon has reported within the window
     */
    Duration meanReportAge(final Instant now) {
        final double millis =
                mDaemons.values().stream()
                        .filter(samples -> isReporting(samples, now))
                        .mapToLong(
                                samples ->
                                        Duration.between(samples.peekLast().at(), now).toMillis())
                        .average()
                        .orElse(0);
        return Duration.ofMillis(Math.round(millis));
    }

    private static boolean isReporting(final Deque<Sample> samples, final Instant now) {
        return !samples.isEmpty() && !samples.peekLast().at().isBefore(now.minus(WINDOW));
    }

    private record Sample(Instant at, long requests) {}
}
