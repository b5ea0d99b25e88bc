package org.whinhead.serving.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The longest time for which callers of each route may still resume a stream, over all their
 * attempts. A request that resumes a stream states only the rest of its caller's time, so the
 * longest time that was stated on its route counts.
 */
public final class ResumableTimes {

    /** No stream is resumed later than this, whatever its caller has stated. */
    public static final Duration LONGEST = KnownStreams.MAX_KEPT;

    private final Map<String, Stated> mByRoute = new HashMap<>();

    /** The longest times of a period and of the one before it; both cover {@link #LONGEST}. */
    private record Stated(Instant since, Duration current, Duration previous) {

        private Duration longest() {
            return current.compareTo(previous) > 0 ? current : previous;
        }
    }

    /**
     * Records the time for which a caller waits.
     *
     * @param route the name of the request's route
     * @param time the time from now until the caller gives up
     * @param now the current time
     */
    public void record(final String route, final Duration time, final Instant now) {
        Objects.requireNonNull(time, "time");
        final Stated before = at(route, now);
        if (time.compareTo(before.current()) > 0) {
            mByRoute.put(route, new Stated(before.since(), time, before.previous()));
        } else {
            mByRoute.put(route, before);
        }
    }

    /**
     * Returns the longest time for which a stream may still be resumed after it began.
     *
     * @param route the name of the route
     * @param now the current time
     * @return the longest time that was stated, at most {@link #LONGEST}; zero if none was
     */
    public Duration longest(final String route, final Instant now) {
        final Duration stated = at(route, now).longest();
        return stated.compareTo(LONGEST) < 0 ? stated : LONGEST;
    }

    private Stated at(final String route, final Instant now) {
        final Stated stated = mByRoute.get(route);
        if (stated == null || !now.isBefore(stated.since().plus(LONGEST.multipliedBy(2)))) {
            return new Stated(now, Duration.ZERO, Duration.ZERO);
        }
        return now.isBefore(stated.since().plus(LONGEST))
                ? stated
                : new Stated(stated.since().plus(LONGEST), Duration.ZERO, stated.current());
    }
}
