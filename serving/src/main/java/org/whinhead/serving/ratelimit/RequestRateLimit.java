package org.whinhead.serving.ratelimit;

import java.time.Duration;

/**
 * The requests per second that an endpoint takes from all daemons together.
 *
 * @param perSecond the requests per second, from 0
 */
public record RequestRateLimit(double perSecond) implements Comparable<RequestRateLimit> {

    /**
     * The rate at which an endpoint gets requests that takes fewer: without any request nobody
     * learns that its limit has ended.
     */
    static final double MIN_PER_SECOND = 0.2;

    /** The rate above which a limit makes no difference to the schedule. */
    private static final double MAX_PER_SECOND = 1_000_000;

    private static final double NANOS_PER_SECOND = 1_000_000_000;

    /** Checks that the rate is a finite number from 0. */
    public RequestRateLimit {
        if (!Double.isFinite(perSecond) || perSecond < 0) {
            throw new IllegalArgumentException(
                    "requests per second must be a finite number from 0: " + perSecond);
        }
    }

    /**
     * Returns the time between two requests.
     *
     * @param share the share of the limit that is used, above 0 and at most 1
     * @return the time, which keeps the requests within that share of the limit
     */
    public Duration interval(final double share) {
        if (!(share > 0 && share <= 1)) {
            throw new IllegalArgumentException("share must be above 0 and at most 1: " + share);
        }
        final double used = Math.min(Math.max(perSecond, MIN_PER_SECOND), MAX_PER_SECOND) * share;
        return Duration.ofNanos((long) Math.ceil(NANOS_PER_SECOND / used));
    }

    @Override
    public int compareTo(final RequestRateLimit other) {
        return Double.compare(perSecond, other.perSecond);
    }
}
