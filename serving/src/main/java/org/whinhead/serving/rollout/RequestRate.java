package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Requests a second of all daemons, from counts that each of them reports.
 *
 * <p>The first count of a daemon, and one after a pause, hold what came long before: they are where
 * its rate starts, not part of it. Else the rate would jump whenever the holder of the duties
 * changes, or a daemon that was cut off is heard again.
 */
final class RequestRate {

    /** The time over which the rate is taken. */
    private static final Duration WINDOW = Duration.ofMillis(2_000);

    /** The time over which a daemon's rate is taken at least. */
    private static final Duration MIN_SPAN = Duration.ofMillis(500);

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Deque<Sample>> mDaemons = new HashMap<>();

    /**
     * Takes a daemon's count.
     *
     * @param daemon names the daemon's process
     * @param requests its requests so far
     * @param now the time
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
     * Adds up the daemons' rates; one whose rate isn't known yet is taken to have the others' mean.
     *
     * @param now the time
     * @return requests a second; 0 if no daemon's rate is known
     */
    double perSecond(final Instant now) {
        double sum = 0;
        int known = 0;
        int heard = 0;
        for (final Deque<Sample> samples : mDaemons.values()) {
            if (isReporting(samples, now)) {
                heard++;
                final Sample first = samples.peekFirst();
                final Sample last = samples.peekLast();
                final Duration span = Duration.between(first.at(), last.at());
                if (span.compareTo(MIN_SPAN) >= 0) {
                    known++;
                    sum +=
                            (last.requests() - first.requests())
                                    * MILLIS_PER_SECOND
                                    / span.toMillis();
                }
            }
        }
        return known == 0 ? 0 : sum * heard / known;
    }

    /**
     * Returns how long ago the daemons' last counts came, in the mean.
     *
     * @param now the time
     * @return zero if none was heard lately
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
