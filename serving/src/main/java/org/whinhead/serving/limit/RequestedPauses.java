package org.whinhead.serving.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The pauses for which endpoints have asked this daemon, with {@code Retry-After} in a rejection.
 *
 * <p>A pause is between one endpoint and one daemon: an endpoint that turns one daemon away may
 * have room for another one. Of several pauses the one that ends last counts.
 */
public final class RequestedPauses {

    private final Map<String, Pause> mPauses = new HashMap<>();

    /**
     * Records that an endpoint has asked for a pause.
     *
     * @param endpoint the endpoint's id
     * @param length the length of the pause, above zero
     * @param now the current time
     */
    public void add(final String endpoint, final Duration length, final Instant now) {
        final Pause known = mPauses.get(endpoint);
        final Instant end = now.plus(length);
        if (known == null || known.end().isBefore(end)) {
            mPauses.put(endpoint, new Pause(now, end));
        }
    }

    /**
     * Returns the time that is left of an endpoint's pause.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return the time; empty if there is no pause, or it is over
     */
    public Optional<Duration> left(final String endpoint, final Instant now) {
        return Optional.ofNullable(mPauses.get(endpoint))
                .map(pause -> Duration.between(now, pause.end()))
                .filter(left -> !left.isNegative() && !left.isZero());
    }

    /**
     * Returns for how long an endpoint's last pause has been known.
     *
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return the time; empty without a pause
     */
    public Optional<Duration> knownFor(final String endpoint, final Instant now) {
        return Optional.ofNullable(mPauses.get(endpoint))
                .map(pause -> Duration.between(pause.since(), now));
    }

    /**
     * Returns the number of endpoints whose pauses are not over.
     *
     * @param now the current time
     * @return the number of endpoints
     */
    public int count(final Instant now) {
        return (int) mPauses.values().stream().filter(pause -> now.isBefore(pause.end())).count();
    }

    /**
     * Forgets an endpoint that has restarted.
     *
     * @param endpoint the endpoint's id
     */
    public void forget(final String endpoint) {
        mPauses.remove(endpoint);
    }

    /**
     * Forgets endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        mPauses.keySet().removeIf(endpoint -> !known.contains(endpoint));
    }

    private record Pause(Instant since, Instant end) {}
}
