package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Orders endpoints towards a target.
 *
 * <p>Reclaimable endpoints cost a fraction of the others, but a whole failure domain of them leaves
 * at once. So the target spreads them evenly, such that what is left in the other failure domains
 * carries the load. Endpoints on demand leave only once the reclaimable ones that replace them
 * serve.
 */
public final class CapacityPlanner {

    /** How long an order that was refused, or that shows no effect, rests before it is repeated. */
    private static final Duration REPEAT_AFTER = Duration.ofSeconds(3);

    /** How long after a refusal reclaimable endpoints are taken to be out of stock. */
    private static final Duration REFUSED_FOR = Duration.ofSeconds(6);

    private final CapacityTarget mTarget;
    private final Map<Key, Sent> mSent = new HashMap<>();
    private final Map<Key, Instant> mRefused = new HashMap<>();
    private final Set<String> mNoticed = new HashSet<>();

    /**
     * Makes a planner that has ordered nothing.
     *
     * @param target what each failure domain should have
     */
    public CapacityPlanner(final CapacityTarget target) {
        mTarget = target;
    }

    /**
     * Lists the orders to send now.
     *
     * @param service a service with scaling limits
     * @param listed its endpoints, leaving ones too
     * @param now the time
     * @return the orders; each counts as sent
     */
    public List<CapacityOrder> plan(
            final ServiceSpec service, final Collection<EndpointEntry> listed, final Instant now) {
        final List<CapacityOrder> orders = new ArrayList<>();
        if (service.scaling().isEmpty()) {
            return orders;
        }
        noteReclaims(service, listed, now);
        final List<EndpointEntry> endpoints =
                listed.stream().filter(endpoint -> !endpoint.leaving()).toList();
        final ScalingLimits limits = service.scaling().get();
        for (final String domain : limits.domainPrices().keySet().stream().sorted().toList()) {
            final int onDemandNow = count(endpoints, domain, false);
            final int reclaimableNow = count(endpoints, domain, true);
            if (onDemandNow + reclaimableNow == 0 && !everHad(service, domain)) {
                continue;
            }
            mSent.putIfAbsent(
                    new Key(service.name(), domain, false), new Sent(onDemandNow, Instant.EPOCH));
            final int room = Math.max(limits.most() - onDemandNow, 0);
            final int reclaimable = Math.min(mTarget.reclaimable(), room);
            add(orders, service, domain, true, reclaimable, reclaimableNow, now);
            int onDemand = Math.max(mTarget.onDemand(), limits.least() - mTarget.reclaimable());
            if (isRefused(service, domain, now)) {
                onDemand = Math.min(onDemand + reclaimable - reclaimableNow, limits.most());
            }
            if (reclaimableNow >= reclaimable || onDemand > onDemandNow) {
                add(orders, service, domain, false, onDemand, onDemandNow, now);
            }
        }
        return orders;
    }

    /** A reclaim takes all of a failure domain, where none are to be had for a while. */
    private void noteReclaims(
            final ServiceSpec service, final Collection<EndpointEntry> listed, final Instant now) {
        for (final EndpointEntry endpoint : listed) {
            if (endpoint.leavesIn().isPresent() && mNoticed.add(endpoint.id())) {
                mRefused.put(new Key(service.name(), endpoint.domain(), true), now);
            }
        }
    }

    /**
     * Takes the platform's answer to an order.
     *
     * @param order the order
     * @param taken whether it was accepted; if not, none of that kind are to be had there
     * @param now the time
     */
    public void answered(final CapacityOrder order, final boolean taken, final Instant now) {
        final Key key = new Key(order.service(), order.domain(), order.reclaimable());
        if (taken) {
            mRefused.remove(key);
        } else {
            mRefused.put(key, now);
        }
    }

    private boolean isRefused(final ServiceSpec service, final String domain, final Instant now) {
        final Instant at = mRefused.get(new Key(service.name(), domain, true));
        return at != null && now.isBefore(at.plus(REFUSED_FOR));
    }

    private boolean everHad(final ServiceSpec service, final String domain) {
        return mSent.containsKey(new Key(service.name(), domain, false));
    }

    private void add(
            final List<CapacityOrder> orders,
            final ServiceSpec service,
            final String domain,
            final boolean reclaimable,
            final int wanted,
            final int present,
            final Instant now) {
        final Key key = new Key(service.name(), domain, reclaimable);
        final Sent sent = mSent.get(key);
        final boolean rested = sent == null || now.isAfter(sent.mAt.plus(REPEAT_AFTER));
        if (wanted == present || !rested) {
            return;
        }
        mSent.put(key, new Sent(wanted, now));
        orders.add(new CapacityOrder(service.name(), domain, reclaimable, wanted));
    }

    private static int count(
            final Collection<EndpointEntry> endpoints,
            final String domain,
            final boolean reclaimable) {
        return (int)
                endpoints.stream()
                        .filter(endpoint -> endpoint.domain().equals(domain))
                        .filter(endpoint -> endpoint.reclaimable() == reclaimable)
                        .count();
    }

    private record Key(String service, String domain, boolean reclaimable) {}

    private static final class Sent {
        private final int mCount;
        private final Instant mAt;

        private Sent(final int count, final Instant at) {
            mCount = count;
            mAt = at;
        }
    }
}
