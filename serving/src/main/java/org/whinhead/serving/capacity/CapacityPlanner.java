package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

    private final CapacityTarget mTarget;
    private final Map<Key, Sent> mSent = new HashMap<>();

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
     * @param endpoints its endpoints that are not leaving
     * @param now the time
     * @return the orders; each counts as sent
     */
    public List<CapacityOrder> plan(
            final ServiceSpec service,
            final Collection<EndpointEntry> endpoints,
            final Instant now) {
        final List<CapacityOrder> orders = new ArrayList<>();
        if (service.scaling().isEmpty()) {
            return orders;
        }
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
            final int onDemand =
                    Math.max(mTarget.onDemand(), limits.least() - mTarget.reclaimable());
            if (reclaimableNow >= reclaimable || onDemand > onDemandNow) {
                add(orders, service, domain, false, onDemand, onDemandNow, now);
            }
        }
        return orders;
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
