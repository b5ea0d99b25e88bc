package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Orders endpoints so that they meet the demand, and that the loss of any failure domain's
 * reclaimable endpoints leaves enough of them.
 *
 * <p>Reclaimable endpoints cost a fraction of the on-demand ones, so they serve calm hours, spread
 * evenly over the failure domains. A reclaim takes all of one domain within seconds, and none are
 * available for a while. On-demand endpoints then fill the gap until reclaimable ones return.
 *
 * <p>The failure domains are those that the configuration prices, not only those where endpoints
 * are listed. Otherwise a holder that takes over after the last endpoint has gone would know no
 * domain and order nothing, and the service would remain without endpoints.
 */
public final class CapacityPlanner {

    /** The time after which a refused order is repeated: three renewals of the lease at least. */
    private static final Duration REFUSED_RETRY_DELAY = Duration.ofMillis(2_700);

    /** The margin that is added to an endpoint's start time before its order is repeated. */
    private static final Duration BOOT_MARGIN = Duration.ofSeconds(2);

    /**
     * The time that a surplus lasts before on-demand endpoints are removed. Before traffic they are
     * removed as soon as others have replaced them, since nobody uses them yet.
     */
    private static final Duration SURPLUS_DELAY = Duration.ofSeconds(4);

    /** The decrease of the need before fewer endpoints are kept; it varies within seconds. */
    private static final double NEED_SLACK = 1.3;

    /** The share of the initial endpoints that is assumed to be needed until traffic starts. */
    private static final double INITIAL_NEED_SHARE = 2.0 / 3;

    private final CapacitySettings mSettings;
    private final Map<String, Map<String, DomainCapacity>> mServices = new HashMap<>();
    private final Map<String, InitialEndpoints> mInitial = new HashMap<>();
    private final Map<String, Integer> mNeeds = new HashMap<>();
    private final Map<CapacityOrder, Instant> mSent = new HashMap<>();
    private final Set<CapacityOrder> mRefused = new HashSet<>();
    private final Map<String, Instant> mSurplusSince = new HashMap<>();

    /**
     * Creates a planner that has ordered nothing.
     *
     * @param settings the settings of the kept capacity
     */
    public CapacityPlanner(final CapacitySettings settings) {
        mSettings = Objects.requireNonNull(settings, "settings");
    }

    /**
     * The load of a service's endpoints.
     *
     * @param demand the tokens per second that callers request; empty while traffic is too short to
     *     measure
     * @param minimumDemand the tokens per second that callers request at least; 0 without traffic
     * @param tokensPerEndpoint the measured tokens per second that one endpoint processes
     * @param missingEndpoints the listed endpoints that serve next to nothing
     */
    public record Load(
            OptionalDouble demand,
            double minimumDemand,
            double tokensPerEndpoint,
            int missingEndpoints) {

        /**
         * Creates the load of a service whose listed endpoints all serve.
         *
         * @param demand the tokens per second that callers request, if known
         * @param minimumDemand the tokens per second that callers request at least
         * @param tokensPerEndpoint the tokens per second that one endpoint processes
         */
        public Load(
                final OptionalDouble demand,
                final double minimumDemand,
                final double tokensPerEndpoint) {
            this(demand, minimumDemand, tokensPerEndpoint, 0);
        }

        /** Returns whether any traffic was observed. */
        boolean isObserved() {
            return demand.isPresent() || minimumDemand > 0;
        }
    }

    /**
     * Returns the orders to send now.
     *
     * @param service a service, with or without scaling limits
     * @param endpoints its endpoints that are not leaving; empty if all were lost
     * @param load the service's load
     * @param now the current time
     * @return the orders; each counts as sent
     */
    public List<CapacityOrder> plan(
            final ServiceSpec service,
            final Collection<EndpointEntry> endpoints,
            final Load load,
            final Instant now) {
        if (service.scaling().isEmpty()) {
            return List.of();
        }
        final ScalingLimits limits = service.scaling().get();
        final Collection<DomainCapacity> domains = domains(service.name(), limits, endpoints, now);
        if (domains.isEmpty()) {
            return List.of();
        }
        final InitialEndpoints initial = initial(service.name(), limits, now);
        initial.update(domains, now);
        if (!load.isObserved() && !initial.isSettled(now)) {
            return List.of();
        }
        final int least = Math.max(domains.size() * limits.least(), 1);
        final int need =
                need(service.name(), load, Math.max(initial.count(), least))
                        + load.missingEndpoints();
        adoptNeeded(domains, need);
        final int reclaimable =
                Math.max(
                        (int) Math.ceil(need * mSettings.reserve() / domains.size()),
                        limits.least());
        domains.forEach(domain -> domain.setReclaimableTarget(reclaimable));
        final Duration surplusDelay = load.isObserved() ? SURPLUS_DELAY : Duration.ZERO;
        balanceOnDemand(service.name(), domains, limits, need, surplusDelay, now);
        final List<CapacityOrder> orders = new ArrayList<>();
        for (final DomainCapacity domain : domains) {
            addOrder(orders, service, domain, true, domain.reclaimableTarget(), now);
            addOrder(orders, service, domain, false, domain.onDemandTarget(), now);
        }
        return orders;
    }

    /**
     * Observes the endpoints while another daemon orders, in preparation for a takeover.
     *
     * @param service a service, with or without scaling limits
     * @param endpoints its endpoints that are not leaving
     * @param now the current time
     */
    public void observe(
            final ServiceSpec service,
            final Collection<EndpointEntry> endpoints,
            final Instant now) {
        if (service.scaling().isPresent()) {
            final ScalingLimits limits = service.scaling().get();
            final Collection<DomainCapacity> domains =
                    domains(service.name(), limits, endpoints, now);
            initial(service.name(), limits, now).update(domains, now);
            domains.forEach(domain -> domain.keepAllOnDemand(now));
            // The holder wants all listed endpoints: if all disappear, they were reclaimed.
            domains.forEach(domain -> domain.setReclaimableTarget(domain.currentCount(true)));
        }
    }

    /**
     * Records an order of the daemon that orders now. Its endpoints are not listed before they have
     * started. A daemon that takes over meanwhile would order fewer, and the platform would remove
     * those that are about to start.
     *
     * @param service the service
     * @param order an order that the platform has accepted
     * @param now the current time
     */
    public void recordPeerOrder(
            final ServiceSpec service, final CapacityOrder order, final Instant now) {
        if (service.scaling().isEmpty() || order.reclaimable()) {
            return;
        }
        final Map<String, DomainCapacity> domains =
                mServices.computeIfAbsent(service.name(), name -> new TreeMap<>());
        final ScalingLimits limits = service.scaling().get();
        addDomain(domains, order.domain(), limits);
        final Instant listedAt = now.plus(limits.bootTime()).plus(BOOT_MARGIN);
        domains.get(order.domain()).recordPeerOrder(order.count(), listedAt);
        domains.get(order.domain()).keepAllOnDemand(now);
    }

    private InitialEndpoints initial(
            final String service, final ScalingLimits limits, final Instant now) {
        return mInitial.computeIfAbsent(
                service, name -> new InitialEndpoints(now, limits.bootTime()));
    }

    private Collection<DomainCapacity> domains(
            final String service,
            final ScalingLimits limits,
            final Collection<EndpointEntry> endpoints,
            final Instant now) {
        final Map<String, DomainCapacity> domains =
                mServices.computeIfAbsent(service, name -> new TreeMap<>());
        limits.domainPrices().keySet().forEach(name -> addDomain(domains, name, limits));
        endpoints.forEach(endpoint -> addDomain(domains, endpoint.domain(), limits));
        domains.values().stream()
                .filter(domain -> domain.updateCounts(endpoints, now))
                .forEach(domain -> forgetOrders(service, domain.domain()));
        return domains.values();
    }

    /**
     * Forgets the orders that were sent to a domain that has lost endpoints. Otherwise an order
     * that was carried out before the loss would count as pending for the time of a start, and
     * neither the same number nor another one would be ordered.
     */
    private void forgetOrders(final String service, final String domain) {
        mSent.keySet()
                .removeIf(
                        order -> order.service().equals(service) && order.domain().equals(domain));
    }

    private static void addDomain(
            final Map<String, DomainCapacity> domains,
            final String domain,
            final ScalingLimits limits) {
        domains.computeIfAbsent(domain, name -> new DomainCapacity(name, limits.most()));
    }

    /**
     * Keeps needed on-demand endpoints regardless of which daemon ordered them. The previous holder
     * may have ordered them for a fleet that was lost; a successor that had not ordered them
     * removed them as they started, and the service had no endpoints for the time of another start.
     */
    private static void adoptNeeded(final Collection<DomainCapacity> domains, final int need) {
        int missing = need - domains.stream().mapToInt(DomainCapacity::keptCount).sum();
        for (final DomainCapacity domain : domains) {
            missing -= domain.adoptOnDemand(missing);
        }
    }

    private int need(final String service, final Load load, final int initial) {
        final int previous = mNeeds.getOrDefault(service, 0);
        if (load.demand().isEmpty()) {
            final int observed = (int) Math.ceil(endpointsFor(load.minimumDemand(), load));
            final int assumed = (int) Math.ceil(initial * INITIAL_NEED_SHARE);
            return Math.max(Math.max(previous, observed), assumed);
        }
        final double need = endpointsFor(load.demand().getAsDouble(), load);
        if (need > previous || need + NEED_SLACK < previous) {
            mNeeds.put(service, (int) Math.max(Math.ceil(need), 1));
        }
        return mNeeds.get(service);
    }

    private double endpointsFor(final double tokensPerSecond, final Load load) {
        return tokensPerSecond / (mSettings.loadPart() * load.tokensPerEndpoint());
    }

    private static boolean isWave(final Collection<DomainCapacity> domains, final Instant now) {
        return domains.stream().anyMatch(domain -> domain.wasReclaimed(now));
    }

    /**
     * Returns the number of endpoints to keep: enough for the demand, and enough to survive a loss
     * of reclaimable ones. In a wave of reclaims two more failure domains may be reclaimed before
     * anything that is ordered at the next notice has started.
     */
    private int endpointsToKeep(
            final Collection<DomainCapacity> domains, final int need, final Instant now) {
        final boolean wave = isWave(domains, now);
        final int atRisk =
                domains.stream()
                        .map(domain -> domain.currentCount(true))
                        .sorted(Comparator.reverseOrder())
                        .limit(wave ? mSettings.lossesInWave() : 1)
                        .mapToInt(Integer::intValue)
                        .sum();
        final double survivors =
                need * (wave ? mSettings.survivingPartInWave() : mSettings.survivingPart());
        final int withBursts = (int) (need * mSettings.burstReserve());
        return Math.max(withBursts, atRisk + (int) Math.ceil(survivors));
    }

    /** Sets the on-demand targets by the expected endpoints and possible losses. */
    private void balanceOnDemand(
            final String service,
            final Collection<DomainCapacity> domains,
            final ScalingLimits limits,
            final int need,
            final Duration surplusDelay,
            final Instant now) {
        final int kept = endpointsToKeep(domains, need, now);
        final int expected = domains.stream().mapToInt(DomainCapacity::expectedCount).sum();
        final Comparator<DomainCapacity> byPrice =
                Comparator.comparing(
                        domain -> limits.domainPrices().getOrDefault(domain.domain(), 1.0));
        if (expected < kept) {
            mSurplusSince.remove(service);
            addOnDemand(domains, kept - expected, byPrice);
            return;
        }
        final Instant since = mSurplusSince.computeIfAbsent(service, name -> now);
        if (expected == kept || now.isBefore(since.plus(surplusDelay))) {
            return;
        }
        // Only endpoints that serve already replace others, not those that are starting.
        final int present = domains.stream().mapToInt(DomainCapacity::keptCount).sum();
        removeOnDemand(domains, limits.least(), present - kept, byPrice);
        mSurplusSince.remove(service);
    }

    private static void addOnDemand(
            final Collection<DomainCapacity> domains,
            final int count,
            final Comparator<DomainCapacity> byPrice) {
        for (int missing = count; missing > 0; missing--) {
            domains.stream()
                    .filter(DomainCapacity::hasRoom)
                    .min(
                            Comparator.comparingInt(DomainCapacity::expectedCount)
                                    .thenComparing(byPrice))
                    .ifPresent(DomainCapacity::addOnDemand);
        }
    }

    private static void removeOnDemand(
            final Collection<DomainCapacity> domains,
            final int least,
            final int count,
            final Comparator<DomainCapacity> byPrice) {
        for (int left = count; left > 0; left--) {
            domains.stream()
                    .filter(domain -> domain.canRemoveOnDemand(least))
                    .max(
                            Comparator.comparingInt(DomainCapacity::onDemandTarget)
                                    .thenComparing(byPrice))
                    .ifPresent(DomainCapacity::removeOnDemand);
        }
    }

    private void addOrder(
            final List<CapacityOrder> orders,
            final ServiceSpec service,
            final DomainCapacity domain,
            final boolean reclaimable,
            final int target,
            final Instant now) {
        if (target == domain.currentCount(reclaimable)) {
            return;
        }
        final CapacityOrder order =
                new CapacityOrder(service.name(), domain.domain(), reclaimable, target);
        final Duration retryDelay =
                mRefused.contains(order)
                        ? REFUSED_RETRY_DELAY
                        : service.scaling().orElseThrow().bootTime().plus(BOOT_MARGIN);
        final Instant sent = mSent.get(order);
        if (sent == null || !now.isBefore(sent.plus(retryDelay))) {
            mSent.put(order, now);
            orders.add(order);
        }
    }

    /**
     * Records the platform's answer to an order.
     *
     * @param order the order
     * @param accepted whether the order was accepted; if not, none of that kind are available there
     */
    public void recordAnswer(final CapacityOrder order, final boolean accepted) {
        if (order.reclaimable()) {
            mServices.get(order.service()).get(order.domain()).recordReclaimableAnswer(accepted);
        }
        if (accepted) {
            mRefused.remove(order);
        } else {
            mRefused.add(order);
        }
    }

    /**
     * Records that a planned order was not sent. The next plan contains it again if it is still
     * needed.
     *
     * @param order the order
     */
    public void recordNotSent(final CapacityOrder order) {
        mSent.remove(order);
    }

    /**
     * Records that the platform did not handle an order, for example because of too many calls. It
     * is repeated like a refused one, and says nothing of the endpoints that are available.
     *
     * @param order the order
     */
    public void recordNotHandled(final CapacityOrder order) {
        mRefused.add(order);
    }
}
