package org.whinhead.serving.ratelimit;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The schedules of the limits that this daemon owns, and the permits that it has granted. */
final class OwnedLimits {

    /** The time for which a repeated request gets the same response. */
    private static final Duration GRANT_MEMORY = Duration.ofSeconds(1);

    /** Bounds the memory; more than the requests that arrive within the time above. */
    private static final int MAX_GRANTS = 4_096;

    private final Map<String, RequestSchedule> mSchedules = new HashMap<>();
    private final Map<ClaimKey, Grant> mGrants = new LinkedHashMap<>();

    /** Identifies a claim at all daemons. */
    record ClaimKey(InetSocketAddress claimant, long id) {}

    private record Grant(String endpoint, Instant at) {}

    /**
     * Reserves a time for a claim, or finds the one that an earlier copy of it has reserved.
     *
     * @param key identifies the claim
     * @param endpoint the endpoint
     * @param interval the time between two requests
     * @param maxWait the longest wait
     * @param now the current time
     * @return the time; empty if it is too far off
     */
    Optional<Instant> reserve(
            final ClaimKey key,
            final String endpoint,
            final Duration interval,
            final Duration maxWait,
            final Instant now) {
        dropOldGrants(now);
        final Grant earlier = mGrants.get(key);
        if (earlier != null) {
            return Optional.of(earlier.at());
        }
        final Optional<Instant> at = schedule(endpoint, now).reserve(interval, maxWait, now);
        at.ifPresent(time -> mGrants.put(key, new Grant(endpoint, time)));
        return at;
    }

    private RequestSchedule schedule(final String endpoint, final Instant now) {
        return mSchedules.computeIfAbsent(endpoint, id -> new RequestSchedule(now));
    }

    private void dropOldGrants(final Instant now) {
        final Instant oldest = now.minus(GRANT_MEMORY);
        final var grants = mGrants.values().iterator();
        while (grants.hasNext()
                && (grants.next().at().isBefore(oldest) || mGrants.size() > MAX_GRANTS)) {
            grants.remove();
        }
    }

    /** Returns the time until a request may be sent; zero if one may be sent now. */
    Duration untilFree(final String endpoint, final Duration interval, final Instant now) {
        final Duration left = Duration.between(now, schedule(endpoint, now).nextFree(interval));
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** Frees the time of a claim that was not used. */
    void release(final ClaimKey key) {
        final Grant grant = mGrants.remove(key);
        if (grant != null && mSchedules.containsKey(grant.endpoint())) {
            mSchedules.get(grant.endpoint()).release(grant.at());
        }
    }

    /** Forgets the schedules of limits that this daemon no longer owns. */
    void retain(final Predicate<String> isOwned) {
        mSchedules.keySet().removeIf(isOwned.negate());
    }

    /** Forgets the schedules of endpoints that no longer exist. */
    void retain(final Collection<String> endpoints) {
        mSchedules.keySet().retainAll(endpoints);
    }

    /** Forgets all schedules. */
    void clear() {
        mSchedules.clear();
    }
}
