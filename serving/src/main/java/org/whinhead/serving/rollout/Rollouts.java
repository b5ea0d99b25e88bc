package org.whinhead.serving.rollout;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * The roll-outs that a daemon knows of, and which of a service's endpoints may get a request.
 *
 * <p>The new version gets a request only if the request's hash lies below the share of the newest
 * step, so no daemon has to ask another one, and all daemons together keep to the share whatever
 * they hear of each other. A daemon that has read an order and no step sends the new version
 * nothing.
 */
public final class Rollouts {

    /** Stands for the route where all routes get the same. */
    private static final String ANY_ROUTE = "";

    private static final double HASHES = 0x1p32;

    /** Spreads the hashes of ids that differ in few characters. */
    private static final int SPREAD_FACTOR = 0x9E3779B9;

    private final boolean mEnabled;
    private final VersionHold mHold = new VersionHold();
    private final Map<String, ServiceRollout> mServices = new HashMap<>();

    /**
     * Makes a set that knows no order.
     *
     * @param inForce whether there are roll-outs in this deployment; if not, every endpoint may get
     *     every request
     */
    public Rollouts(final boolean inForce) {
        mEnabled = inForce;
    }

    /**
     * Takes an order as the store shows it.
     *
     * @param order the order; an older one than that which is known changes nothing
     * @return whether it is new
     */
    public boolean addOrder(final RolloutOrder order) {
        final ServiceRollout known = mServices.get(order.service());
        if (known != null && known.order().offset() >= order.offset()) {
            return false;
        }
        mServices.put(order.service(), new ServiceRollout(order));
        return true;
    }

    /**
     * Takes a step of the holder of the duties.
     *
     * @param step the step
     * @param now the time
     */
    public void applyStep(final RolloutStep step, final Instant now) {
        find(step.service()).ifPresent(rollout -> rollout.applyStep(step, now));
    }

    /**
     * Takes what the store keeps of a roll-out.
     *
     * @param record the record
     */
    public void applyRecord(final RolloutRecord record) {
        find(record.service())
                .filter(rollout -> rollout.order().offset() == record.order())
                .ifPresent(rollout -> rollout.applyRecordedState(record.state()));
    }

    /**
     * Notes which endpoints there are.
     *
     * @param endpoints the endpoints of all services
     * @param now the time
     */
    public void observeEndpoints(final Collection<EndpointEntry> endpoints, final Instant now) {
        if (mEnabled) {
            mHold.observe(endpoints, now);
        }
    }

    /**
     * Picks the endpoints that count as a service's capacity.
     *
     * @param service the service
     * @param usable its endpoints that are not leaving
     * @return all while a roll-out is under way, and then those of the version that serves
     */
    public List<EndpointEntry> capacityEndpoints(
            final String service, final List<EndpointEntry> usable) {
        return find(service)
                .filter(rollout -> rollout.state().isFinal())
                .map(rollout -> rollout.candidates(usable, ANY_ROUTE, 0, Instant.MAX))
                .orElse(usable);
    }

    /**
     * Picks the endpoints that may get a request whose route is of no concern.
     *
     * @param service the service
     * @param usable its endpoints that are not leaving
     * @param requestId the request's id
     * @param repeated whether the request was sent before; then the new version gets it only if it
     *     has taken over
     * @param now the time
     * @return those that may get it
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
     * Picks the endpoints that may get a request.
     *
     * @param service the service
     * @param usable its endpoints that are not leaving
     * @param route the request's route
     * @param requestId the request's id
     * @param repeated whether the request was sent before; then the new version gets it only if it
     *     has taken over
     * @param now the time
     * @return those that may get it
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
        // A service whose endpoints are all new has nothing to be compared with.
        return known.isEmpty() ? usable : known;
    }

    /**
     * Notes that a request is sent.
     *
     * @param route its route
     * @param endpoint where to
     * @return counts what becomes of it; empty if no roll-out of the service is under way
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
     * Lists the orders that were not decided yet, as far as this daemon knows.
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
     * Tells whether a service is between two versions, so that none of its endpoints is a surplus.
     *
     * @param service the service
     * @return whether a roll-out of it is under way
     */
    public boolean isOpen(final String service) {
        return find(service).filter(rollout -> !rollout.state().isFinal()).isPresent();
    }

    /**
     * Says what this daemon has seen of the roll-outs that are under way.
     *
     * @param daemon names this daemon's process
     * @return the evidence of each
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
     * Picks the endpoints that stop when a roll-out of their service is completed.
     *
     * @param service the service
     * @param endpoints its endpoints
     * @return those of other versions than the new one; none without a roll-out
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
     * Names the newest order that is known.
     *
     * @return its offset; 0 without an order
     */
    public long newestOrderOffset() {
        return mServices.values().stream()
                .mapToLong(rollout -> rollout.order().offset())
                .max()
                .orElse(0);
    }

    private Optional<ServiceRollout> find(final String service) {
        return Optional.ofNullable(mServices.get(service));
    }

    private static double draw(final String requestId) {
        int hash = requestId.hashCode() * SPREAD_FACTOR;
        hash ^= hash >>> 15;
        hash *= SPREAD_FACTOR;
        return Integer.toUnsignedLong(hash ^ (hash >>> 13)) / HASHES;
    }
}
