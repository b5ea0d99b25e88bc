package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.ratelimit.RequestRateLimit;
import org.whinhead.serving.stream.StreamOrigin;

/** Selects the endpoints that may receive a request, before one of them is chosen by its load. */
final class EndpointSelection {

    /** The number of hash codes of requests. */
    private static final double HASHES = 1L << Integer.SIZE;

    private final ServingState mState;

    EndpointSelection(final ServingState state) {
        mState = Objects.requireNonNull(state, "state");
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /**
     * Returns the endpoints to which a request may be sent.
     *
     * @param service the name of the request's service
     * @param route the name of the request's route
     * @param requestId the request's id
     * @param repeated whether the request was sent before
     * @return the endpoints
     */
    List<EndpointEntry> candidates(
            final String service,
            final String route,
            final String requestId,
            final boolean repeated) {
        return mState.rollouts()
                .candidates(service, withRoom(service), route, requestId, repeated, now());
    }

    /**
     * Returns the endpoints to which the rest of a stream may be sent.
     *
     * @param origin the service and version that began the stream
     * @return the endpoints
     */
    List<EndpointEntry> continuationCandidates(final StreamOrigin origin) {
        return mState.rollouts().continuationCandidates(origin, withRoom(origin.service()), now());
    }

    /**
     * Returns whether any endpoint may continue a stream, with or without room now.
     *
     * @param origin the service and version that began the stream
     * @return false if waiting is of no use
     */
    boolean canContinue(final StreamOrigin origin) {
        return !mState.rollouts()
                .continuationCandidates(origin, listed(origin.service()), now())
                .isEmpty();
    }

    private List<EndpointEntry> withRoom(final String service) {
        return mState.brittle().withRoom(service, unpaused(service), this::ownRunning, now());
    }

    /** Returns the listed endpoints that have not asked this daemon for a pause. */
    private List<EndpointEntry> unpaused(final String service) {
        final List<EndpointEntry> listed = listed(service);
        if (mState.pauses().isEmpty()) {
            return listed;
        }
        return listed.stream()
                .filter(endpoint -> mState.pauses().mayReceive(endpoint.id(), now()))
                .toList();
    }

    /**
     * Returns the time until the first of a service's endpoints takes requests again, if all of
     * them have asked this daemon for a pause.
     *
     * @param service the service
     * @return the time; empty if an endpoint may get a request now, or if there is none
     */
    Optional<Duration> untilPauseEnds(final String service) {
        if (mState.pauses().isEmpty() || !unpaused(service).isEmpty()) {
            return Optional.empty();
        }
        return listed(service).stream()
                .map(endpoint -> mState.pauses().left(endpoint.id(), now()).orElse(Duration.ZERO))
                .min(Comparator.naturalOrder());
    }

    private List<EndpointEntry> listed(final String service) {
        final List<EndpointEntry> usable = mState.endpoints().usable(service);
        return usable.isEmpty() ? mState.leaving().lastResort(service, now()) : usable;
    }

    /**
     * Returns whether a request that was placed at an endpoint may still be sent there: it may have
     * waited for a permit or a connection since.
     *
     * @param endpoint the endpoint
     * @return false if it has begun to leave, is gone, or has asked for a pause
     */
    boolean mayReceive(final EndpointEntry endpoint) {
        final String id = endpoint.id();
        final boolean isListed =
                mState.endpoints().isUsable(id) || mState.leaving().contains(id, now());
        return isListed && mState.pauses().mayReceive(id, now());
    }

    private int ownRunning(final EndpointEntry endpoint) {
        return mState.chooser().load(endpoint.id()).ownRunning();
    }

    /**
     * Returns the endpoints that may get another request by the limits that they name.
     *
     * @param endpoints endpoints of one service
     * @param requestId the request's id
     * @param maxWait the time that a request may wait if none may get it now
     * @return those that may get it now, as far as is known, or else those that may in that time
     */
    List<EndpointEntry> withinLimits(
            final List<EndpointEntry> endpoints, final String requestId, final Duration maxWait) {
        if (mState.requestLimits().isEmpty()) {
            return endpoints;
        }
        final double draw = Integer.toUnsignedLong(requestId.hashCode()) / HASHES;
        final List<EndpointEntry> returned =
                endpoints.stream()
                        .filter(
                                endpoint ->
                                        draw
                                                < mState.requestLimits()
                                                        .returnedShare(endpoint.id(), now()))
                        .toList();
        final List<EndpointEntry> usable = mayBeGranted(returned, Duration.ZERO);
        return usable.isEmpty() ? withinLimits(endpoints, maxWait) : usable;
    }

    private List<EndpointEntry> withinLimits(
            final List<EndpointEntry> endpoints, final Duration maxWait) {
        final List<EndpointEntry> usable = mayBeGranted(endpoints, Duration.ZERO);
        return usable.isEmpty() ? mayBeGranted(endpoints, maxWait) : usable;
    }

    private List<EndpointEntry> mayBeGranted(
            final List<EndpointEntry> endpoints, final Duration maxWait) {
        return endpoints.stream()
                .filter(endpoint -> mState.permits().mayBeGranted(endpoint.id(), maxWait, now()))
                .toList();
    }

    /**
     * Returns the endpoints that name no limit of requests per second.
     *
     * @param endpoints endpoints of one service
     * @return those without a limit
     */
    List<EndpointEntry> withoutLimit(final List<EndpointEntry> endpoints) {
        return endpoints.stream()
                .filter(endpoint -> mState.requestLimits().limit(endpoint.id()).isEmpty())
                .toList();
    }

    /**
     * Returns the time until one of some endpoints may get another request.
     *
     * @param endpoints endpoints that name a limit
     * @return the time as far as is known here, zero if one may get it now
     */
    Duration untilFree(final List<EndpointEntry> endpoints) {
        return endpoints.stream()
                .map(endpoint -> mState.permits().untilFree(endpoint.id(), now()))
                .min(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    /**
     * Returns the requests per second that some endpoints take together.
     *
     * @param endpoints endpoints that name a limit
     * @return the sum of their limits
     */
    double requestsPerSecond(final List<EndpointEntry> endpoints) {
        return endpoints.stream()
                .flatMap(endpoint -> mState.requestLimits().limit(endpoint.id()).stream())
                .mapToDouble(RequestRateLimit::perSecond)
                .sum();
    }

    /**
     * Returns whether all endpoints of a service are brittle ones without room for a request of
     * this daemon.
     *
     * @param service the service
     * @return true if a request must wait or be refused
     */
    boolean isWithoutRoom(final String service) {
        return mState.brittle().isBrittle(service, now())
                && !unpaused(service).isEmpty()
                && withRoom(service).isEmpty();
    }

    /**
     * Returns whether all endpoints that may continue a stream are brittle ones without room.
     *
     * @param origin the service and version that began the stream
     * @return true if the stream must wait or break off
     */
    boolean isWithoutRoom(final StreamOrigin origin) {
        return mState.brittle().isBrittle(origin.service(), now())
                && !mState.rollouts()
                        .continuationCandidates(origin, unpaused(origin.service()), now())
                        .isEmpty()
                && continuationCandidates(origin).isEmpty();
    }

    /**
     * Returns the endpoints of which a crash would end the fewest other requests.
     *
     * @param endpoints endpoints of one service
     * @return those with the fewest requests in progress, as far as this daemon knows
     */
    List<EndpointEntry> leastBusy(final List<EndpointEntry> endpoints) {
        final int least = endpoints.stream().mapToInt(this::running).min().orElse(0);
        return endpoints.stream().filter(endpoint -> running(endpoint) == least).toList();
    }

    private int running(final EndpointEntry endpoint) {
        return mState.chooser().load(endpoint.id()).running();
    }

    /**
     * Returns where a stream began if nobody knows it, but only one version can have begun it.
     *
     * @param service the service of the stream's route
     * @param span the time before which the stream can't have begun
     * @return the origin; empty if it could be one of several
     */
    Optional<StreamOrigin> onlyOrigin(final String service, final Duration span) {
        mState.observeVersions();
        return mState.versions()
                .onlyVersion(service, span, mState.moment())
                .map(version -> new StreamOrigin(service, version));
    }
}
