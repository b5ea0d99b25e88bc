package org.whinhead.serving.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Limits the requests at endpoints that fall over if they have to reject too many of them.
 *
 * <p>Such endpoints say so in their answers. While an endpoint of a service does, each daemon keeps
 * to its own part of each endpoint's slots. The parts add up to the slots, whatever the daemons
 * know of each other's requests: on reports that are old, several daemons fill the same endpoint at
 * the same moment. After a rejection the endpoint gets no request for as long as rejections are
 * counted together, from this daemon and from those that hear of it, and then fewer at first.
 */
public final class BrittleEndpoints {

    /** The time for which a statement holds: an endpoint without requests doesn't repeat it. */
    static final Duration STATEMENT_TIME = Duration.ofSeconds(10);

    /** Endpoints count their rejections by the second. */
    static final Duration REJECTION_PAUSE = Duration.ofMillis(1_100);

    /** The part of its limit with which a daemon goes on after a rejection. */
    private static final double LIMIT_AFTER_REJECTION = 0.5;

    /** An odd constant with evenly spread bits: 2 to the 32 over the golden ratio. */
    private static final int SPREAD_FACTOR = 0x9E3779B9;

    private static final int SPREAD_SHIFT = 8;

    private final Map<String, EndpointState> mStates = new HashMap<>();
    private final Map<String, Instant> mBrittleUntil = new HashMap<>();
    private int mDaemonCount = 1;
    private int mRank;

    /**
     * Sets the daemons that share the slots of an endpoint.
     *
     * @param daemonCount the number of daemons that are up, at least 1
     * @param rank the number of them that precede this one
     */
    public void setDaemons(final int daemonCount, final int rank) {
        mDaemonCount = Math.max(daemonCount, 1);
        mRank = Math.max(rank, 0);
    }

    /**
     * Records what an answer of an endpoint says.
     *
     * @param endpoint the endpoint
     * @param rejectionLimit the rejections a second that it survives; empty if it isn't brittle
     * @param now the current time
     */
    public void recordAnswer(
            final EndpointEntry endpoint, final OptionalInt rejectionLimit, final Instant now) {
        if (rejectionLimit.isPresent()) {
            recordStatement(endpoint, now);
            return;
        }
        final EndpointState state = mStates.get(endpoint.id());
        if (state != null && state.mBrittleUntil.isAfter(now)) {
            state.mBrittleUntil = Instant.EPOCH;
            updateService(endpoint.service());
        }
    }

    private void recordStatement(final EndpointEntry endpoint, final Instant now) {
        final Instant until = now.plus(STATEMENT_TIME);
        state(endpoint).mBrittleUntil = until;
        mBrittleUntil.merge(
                endpoint.service(), until, (one, other) -> one.isAfter(other) ? one : other);
    }

    private void updateService(final String service) {
        mStates.values().stream()
                .filter(state -> state.mService.equals(service))
                .map(state -> state.mBrittleUntil)
                .max(Comparator.naturalOrder())
                .ifPresentOrElse(
                        until -> mBrittleUntil.put(service, until),
                        () -> mBrittleUntil.remove(service));
    }

    /**
     * Records that an endpoint served a request: its limit opens by one request a round.
     *
     * @param endpoint the endpoint
     */
    public void recordServed(final EndpointEntry endpoint) {
        final EndpointState state = mStates.get(endpoint.id());
        if (state != null && state.mLimit < part(endpoint)) {
            state.mLimit += 1 / Math.max(state.mLimit, 1);
        }
    }

    /**
     * Records that an endpoint rejected a request for want of room.
     *
     * @param endpoint the endpoint
     * @param now the current time
     * @return whether the endpoint was in use before, so that the other daemons should hear of it
     */
    public boolean recordRejection(final EndpointEntry endpoint, final Instant now) {
        if (!isBrittle(endpoint.service(), now)) {
            return false;
        }
        final EndpointState state = state(endpoint);
        final boolean inUse = !now.isBefore(state.mPausedUntil);
        if (inUse) {
            state.mLimit = Math.min(state.mLimit, part(endpoint)) * LIMIT_AFTER_REJECTION;
        }
        state.mPausedUntil = now.plus(REJECTION_PAUSE);
        return inUse;
    }

    /**
     * Records another daemon's message that an endpoint of a brittle service rejected a request.
     *
     * @param endpoint the endpoint
     * @param now the current time
     */
    public void recordPeerRejection(final EndpointEntry endpoint, final Instant now) {
        recordStatement(endpoint, now);
        recordRejection(endpoint, now);
    }

    /**
     * Returns whether endpoints of a service say that they are brittle.
     *
     * @param service the service
     * @param now the current time
     * @return true while the last statement of one of them holds
     */
    public boolean isBrittle(final String service, final Instant now) {
        final Instant until = mBrittleUntil.get(service);
        return until != null && now.isBefore(until);
    }

    /**
     * Returns the services whose endpoints say that they are brittle.
     *
     * @param now the current time
     * @return the names of the services
     */
    public Set<String> brittleServices(final Instant now) {
        return mBrittleUntil.keySet().stream()
                .filter(service -> isBrittle(service, now))
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the endpoints that may get another request; all of them if they aren't brittle.
     *
     * @param service the service
     * @param endpoints endpoints of the service
     * @param ownRunning returns the requests of this daemon at an endpoint
     * @param now the current time
     * @return those with room
     */
    public List<EndpointEntry> withRoom(
            final String service,
            final List<EndpointEntry> endpoints,
            final ToIntFunction<EndpointEntry> ownRunning,
            final Instant now) {
        if (!isBrittle(service, now)) {
            return endpoints;
        }
        final List<EndpointEntry> shared = sharedByThisDaemon(endpoints);
        return shared.stream()
                .filter(endpoint -> !now.isBefore(state(endpoint).mPausedUntil))
                .filter(endpoint -> ownRunning.applyAsInt(endpoint) + 1 <= limit(endpoint))
                .toList();
    }

    /**
     * Returns the endpoints of which this daemon has a part. If there are fewer slots than daemons
     * and it has none, it uses one endpoint all the same, as its callers would be refused for good.
     */
    private List<EndpointEntry> sharedByThisDaemon(final List<EndpointEntry> endpoints) {
        final List<EndpointEntry> shared =
                endpoints.stream().filter(endpoint -> part(endpoint) > 0).toList();
        if (!shared.isEmpty() || endpoints.isEmpty()) {
            return shared;
        }
        return List.of(endpoints.get(mRank % endpoints.size()));
    }

    private double limit(final EndpointEntry endpoint) {
        return Math.max(Math.min(state(endpoint).mLimit, part(endpoint)), 1);
    }

    /** Returns this daemon's part of an endpoint's slots; over all daemons they add up to these. */
    private int part(final EndpointEntry endpoint) {
        final int spread = (endpoint.id().hashCode() * SPREAD_FACTOR) >>> SPREAD_SHIFT;
        final int position = Math.floorMod(mRank + spread, mDaemonCount);
        final int remainder = endpoint.slots() % mDaemonCount;
        return endpoint.slots() / mDaemonCount + (position < remainder ? 1 : 0);
    }

    /**
     * Forgets an endpoint that has restarted: what was said and rejected was so before.
     *
     * @param endpoint the endpoint's id
     */
    public void forget(final String endpoint) {
        final EndpointState state = mStates.remove(endpoint);
        if (state != null) {
            updateService(state.mService);
        }
    }

    /**
     * Forgets endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        List.copyOf(mStates.keySet()).stream()
                .filter(endpoint -> !known.contains(endpoint))
                .forEach(this::forget);
    }

    private EndpointState state(final EndpointEntry endpoint) {
        return mStates.computeIfAbsent(
                endpoint.id(), id -> new EndpointState(endpoint.service(), part(endpoint)));
    }

    private static final class EndpointState {
        private final String mService;
        private double mLimit;
        private Instant mBrittleUntil = Instant.EPOCH;
        private Instant mPausedUntil = Instant.EPOCH;

        private EndpointState(final String service, final double limit) {
            mService = service;
            mLimit = limit;
        }
    }
}
