package org.whinhead.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The endpoints that have said in a response that they leave, by their starts.
 *
 * <p>A statement is final for its start: neither a later response without it nor an entry of the
 * store takes it back.
 */
public final class StatedDepartures {

    /** Twice the endpoints of the largest deployment; the oldest ones have ended by then. */
    private static final int MAX_KNOWN = 4_000;

    /**
     * The time for which a departure is told in reports: endpoints serve for seconds after it, and
     * a daemon that was cut off for longer learns it from the next response.
     */
    private static final Duration TOLD_TIME = Duration.ofSeconds(60);

    private final Map<EndpointStart, Instant> mSince = new LinkedHashMap<>();
    private int mReported;

    /**
     * Records that an endpoint leaves.
     *
     * @param start the start of the endpoint that has said so
     * @param now the current time
     * @return whether it was not known
     */
    public boolean add(final EndpointStart start, final Instant now) {
        Objects.requireNonNull(now, "now");
        if (mSince.putIfAbsent(start, now) != null) {
            return false;
        }
        if (mSince.size() > MAX_KNOWN) {
            mSince.remove(mSince.keySet().iterator().next());
        }
        return true;
    }

    /**
     * Returns whether an endpoint has said that it leaves.
     *
     * @param start the start of the endpoint
     * @return true until the endpoint starts again
     */
    public boolean contains(final EndpointStart start) {
        return mSince.containsKey(start);
    }

    /**
     * Returns the next departures for a report, in turn.
     *
     * @param most the most departures
     * @param now the current time
     * @return some of those that became known a short while ago
     */
    public List<EndpointStart> nextReported(final int most, final Instant now) {
        final List<EndpointStart> recent = new ArrayList<>();
        mSince.forEach(
                (start, since) -> {
                    if (now.isBefore(since.plus(TOLD_TIME))) {
                        recent.add(start);
                    }
                });
        if (recent.size() <= most) {
            return recent;
        }
        final List<EndpointStart> next = new ArrayList<>();
        for (int index = 0; index < most; index++) {
            mReported = (mReported + 1) % recent.size();
            next.add(recent.get(mReported));
        }
        return next;
    }

    /**
     * Returns for how long this daemon has known that an endpoint leaves.
     *
     * @param start the start of the endpoint
     * @param now the current time
     * @return the time; empty if the endpoint has not said so
     */
    public Optional<Duration> knownFor(final EndpointStart start, final Instant now) {
        return Optional.ofNullable(mSince.get(start)).map(since -> Duration.between(since, now));
    }
}
