package org.whinhead.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
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

    private final Map<EndpointStart, Instant> mSince = new LinkedHashMap<>();

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
