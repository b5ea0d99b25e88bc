package org.whinhead.serving.rollout;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.stream.StreamOrigin;

/**
 * The roll-outs that a daemon knows, which select the endpoints that may receive a request.
 *
 * <p>A request is sent to the new version only if the request's hash lies below the share of the
 * newest step. Thus daemons need not ask each other, and all of them together keep to the share
 * whatever messages they receive. A daemon that has read an order but received no step sends no
 * requests to the new version.
 */
public final class Rollouts {

    /** The placeholder of a route where all routes have the same share. */
    private static final String ANY_ROUTE = "";

    private static final double HASH_RANGE = 0x1p32;

    /** The factor that spreads the hashes of ids that differ in few characters. */
    private static final int SPREAD_FACTOR = 0x9E3779B9;

    private final boolean mEnabled;
    private final VersionHold mHold = new VersionHold();
    private final Map<String, ServiceRollout> mServices = new HashMap<>();
    private long mNewestOrderOffset;

    /**
     * Creates a set without any order.
     *
     * @param enabled whether the deployment has roll-outs; if not, any endpoint may get any request
     */
    public Rollouts(final boolean enabled) {
        mEnabled = enabled;
    }

    /**
     * Adds an order that the store holds.
     *
     * @param order the order; it is ignored unless it is newer than the known order of its service,
     *     and if it is that order, written again after the store returned from an older copy
     * @return whether the order is new
     */
    public boolean addOrder(final RolloutOrder order) {
        mNewestOrderOffset = Math.max(mNewestOrderOffset, order.offset());
        final ServiceRollout known = mServices.get(order.service());
        if (known != null
                && (known.order().offset() >= order.offset()
                        || order.isRewrittenFrom(known.order()))) {
            return false;
        }
        mServices.put(order.service(), new ServiceRollout(order));
        return true;
    }

    /**
     * Applies a step of the lease holder.
     *
     * @param step the step
     * @param now the current time
     */
    public void applyStep(final RolloutStep step, final Instant now) {
        find(step.service()).ifPresent(rollout -> rollout.applyStep(step, now));
    }

    /**
     * Applies the stored state of a roll-out.
     *
     * @param record the record
     */
    public void applyRecord(final RolloutRecord record) {
        find(record.service())
                .filter(rollout -> rollout.order().offset() == record.order())
                .ifPresent(rollout -> rollout.applyRecordedState(record.state()));
    }

    /**
     * Observes the listed endpoints and their versions.
     *
     * @param endpoints the endpoints of all services
     * @param now the current time
     */
    public void observeEndpoints(final Collection<EndpointEntry> endpoints, final Instant now) {
        if (mEnabled) {
            mHold.observe(endpoints, now);
        }
    }

    /**
     * Returns the endpoints that count as a service's capacity.
     *
     * @param service the service
     * @param usable its endpoints that are not leaving
     * @return all of them during a roll-out, otherwise those of the version that serves
     */
    public List<EndpointEntry> capacityEndpoints(
            final String service, final List<EndpointEntry> usable) {
        return find(service)
                .filter(rollout -> rollout.state().isFinal())
                .map(rollout -> rollout.candidates(usable, ANY_ROUTE, 0, Instant.MAX))
                .orElse(usable);
    }

    /**
     * Returns the endpoints that may receive a request if its route doesn't matter.
     *
     * @param service the service
     * @param usable its endpoints that are not leaving
     * @param requestId the request's id
     * @param repeated whether the request was sent before; then it is sent to the new version only
     *     if that has taken over
     * @param now the current time
     * @return the endpoints that may receive the request
     */
    public List<EndpointEntry> candidates(
            final String service,
            final List<EndpointEntry> usable,
            final String requestId,
            final boolean repeated,
            final Instant now) {
        return candidates(service, usable, ANY_ROUTE, requestId, repeated, now);
    }

    /**
     * Returns the endpoints that may receive a request.
     *
     * @param service the service
     * @param usable its endpoints that are not leaving
     * @param route the request's route
     * @param requestId the request's id
     * @param repeated whether the request was sent before; then it is sent to the new version only
     *     if that has taken over
     * @param now the current time
     * @return the endpoints that may receive the request
     */
    public List<EndpointEntry> candidates(
            final String service,
            final List<EndpointEntry> usable,
            final String route,
            final String requestId,
            final boolean repeated,
            final Instant now) {
        final Optional<ServiceRollout> rollout = find(service);
        if (rollout.isPresent()) {
            final double draw = repeated ? Math.nextDown(1.0) : draw(requestId);
            return rollout.get().candidates(usable, route, draw, now);
        }
        if (!mEnabled) {
            return usable;
        }
        final List<EndpointEntry> known =
                usable.stream().filter(endpoint -> !mHold.isHeld(endpoint, now)).toList();
        // If all endpoints are new, there is no old version to prefer.
        return known.isEmpty() ? usable : known;
    }

    /**
     * Returns the endpoints that may continue a stream. A stream of the new version continues there
     * as long as that version serves at all; it counts against the version like any request.
     *
     * @param origin the service and version that began the stream
     * @param usable the service's endpoints that are not leaving
     * @param now the current time
     * @return the endpoints of the same version that may serve
     */
    public List<EndpointEntry> continuationCandidates(
            final StreamOrigin origin, final List<EndpointEntry> usable, final Instant now) {
        final boolean mayServe =
                find(origin.service())
                        .map(rollout -> rollout.mayServe(origin.version(), usable, now))
                        .orElse(true);
        return mayServe ? usable.stream().filter(origin::matches).toList() : List.of();
    }

    /**
     * Starts to track a request that is sent to an endpoint.
     *
     * @param route the request's route
     * @param endpoint the endpoint
     * @return the attempt, which counts the outcome; empty without a roll-out in progress
     */
    public Optional<RolloutAttempt> startAttempt(final String route, final EndpointEntry endpoint) {
        return find(endpoint.service())
                .filter(rollout -> !rollout.state().isFinal())
                .map(
                        rollout ->
                                new RolloutAttempt(
                                        rollout.counts(), route, rollout.isNew(endpoint)));
    }

    /**
     * Returns the orders that aren't decided yet, as far as this daemon knows.
     *
     * @return the orders
     */
    public List<RolloutOrder> openOrders() {
        return mServices.values().stream()
                .filter(rollout -> !rollout.state().isFinal())
                .map(ServiceRollout::order)
                .toList();
    }

    /**
     * Returns whether a service is between two versions, without surplus endpoints.
     *
     * @param service the service
     * @return whether a roll-out of the service is in progress
     */
    public boolean isOpen(final String service) {
        return find(service).filter(rollout -> !rollout.state().isFinal()).isPresent();
    }

    /**
     * Returns the outcomes that this daemon has counted for the roll-outs in progress.
     *
     * @param daemon the name of this daemon's process
     * @return the evidence of each roll-out
     */
    public List<RolloutEvidence> collectEvidence(final String daemon) {
        final List<RolloutEvidence> all = new ArrayList<>();
        for (final ServiceRollout rollout : mServices.values()) {
            if (!rollout.state().isFinal()) {
                all.add(
                        new RolloutEvidence(
                                rollout.order().service(),
                                rollout.order().offset(),
                                daemon,
                                rollout.counts().outcomes()));
            }
        }
        return all;
    }

    /**
     * Returns the endpoints that stop when a roll-out of their service is completed.
     *
     * @param service the service
     * @param endpoints its endpoints
     * @return those of versions other than the new one; none without a roll-out
     */
    public List<EndpointEntry> replacedEndpoints(
            final String service, final List<EndpointEntry> endpoints) {
        return find(service)
                .map(
                        rollout ->
                                endpoints.stream()
                                        .filter(endpoint -> !rollout.isNew(endpoint))
                                        .toList())
                .orElse(List.of());
    }

    /**
     * Returns the offset of the newest known order.
     *
     * @return the offset; 0 without an order
     */
    public long newestOrderOffset() {
        return mNewestOrderOffset;
    }

    private Optional<ServiceRollout> find(final String service) {
        return Optional.ofNullable(mServices.get(service));
    }

    private static double draw(final String requestId) {
        int hash = requestId.hashCode() * SPREAD_FACTOR;
        hash ^= hash >>> 15;
        hash *= SPREAD_FACTOR;
        return Integer.toUnsignedLong(hash ^ (hash >>> 13)) / HASH_RANGE;
    }
}
