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
 * Orders endpoints such that the demand is met, and that the loss of any failure domain's
 * reclaimable ones leaves a part of them.
 *
 * <p>Reclaimable endpoints cost a fraction of the others, so they carry the calm hours, spread
 * evenly over the failure domains. A reclaim takes all of one domain within seconds, and none are
 * to be had for a while; endpoints on demand then fill up what the demand needs, and leave again as
 * reclaimable ones come back.
 *
 * <p>The failure domains are those that the configuration prices, not only those where endpoints
 * are listed: a holder that takes over after the last endpoint has gone would otherwise know no
 * domain, order nothing, and the service would stay without endpoints for good.
 */
public final class CapacityPlanner {

    /** How long an order that was refused rests before it is repeated. */
    private static final Duration REFUSED_RETRY_DELAY = Duration.ofSeconds(3);

    /** What is added to the time that an endpoint takes to start, before its order is repeated. */
    private static final Duration BOOT_MARGIN = Duration.ofSeconds(2);

    /**
     * How long a surplus lasts before endpoints on demand are given up. Before traffic they go as
     * soon as others have replaced them: a deployment of 25 paid for all of its own until second 1
     * of traffic, a tenth of a calm day's worth.
     */
    private static final Duration SURPLUS_DELAY = Duration.ofSeconds(4);

    /** How far the need must fall before fewer endpoints are kept; they come and go in seconds. */
    private static final double NEED_SLACK = 1.3;

    /** Part of the endpoints present at the start that are taken as needed until traffic comes. */
    private static final double INITIAL_NEED_SHARE = 2.0 / 3;

    private final CapacitySettings mSettings;
    private final Map<String, Map<String, DomainCapacity>> mServices = new HashMap<>();
    private final Map<String, InitialEndpoints> mInitial = new HashMap<>();
    private final Map<String, Integer> mNeeds = new HashMap<>();
    private final Map<CapacityOrder, Instant> mSent = new HashMap<>();
    private final Set<CapacityOrder> mRefused = new HashSet<>();
    private final Map<String, Instant> mSurplusSince = new HashMap<>();

    /**
     * Makes a planner that has ordered nothing.
     *
     * @param settings how much capacity is kept
     */
    public CapacityPlanner(final CapacitySettings settings) {
        mSettings = Objects.requireNonNull(settings, "settings");
    }

    /**
     * What a service's endpoints have to do.
     *
     * @param demand tokens a second that callers ask for, if traffic has lasted long enough to tell
     * @param atLeast tokens a second that they surely ask for; 0 if nothing was seen yet
     * @param tokensPerEndpoint tokens a second that one endpoint reads, as far as was learned
     */
    public record Load(OptionalDouble demand, double minimumDemand, double tokensPerEndpoint) {

        /** Tells whether callers were seen at all. */
        boolean isSeen() {
            return demand.isPresent() || minimumDemand > 0;
        }
    }

    /**
     * Lists the orders to send now.
     *
     * @param service a service, with scaling limits or without
     * @param endpoints its endpoints that are not leaving; none if all were lost
     * @param load what is asked, and what an endpoint does
     * @param now the time
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
        if (!load.isSeen() && !initial.isSettled(now)) {
            return List.of();
        }
        final int least = Math.max(domains.size() * limits.least(), 1);
        final int need = need(service.name(), load, Math.max(initial.count(), least));
        adoptNeeded(domains, need);
        final int reclaimable =
                Math.max(
                        (int) Math.ceil(need * mSettings.reserve() / domains.size()),
                        limits.least());
        domains.forEach(domain -> domain.setReclaimableTarget(reclaimable));
        final Duration surplusFor = load.isSeen() ? SURPLUS_DELAY : Duration.ZERO;
        balanceOnDemand(service.name(), domains, limits, need, surplusFor, now);
        final List<CapacityOrder> orders = new ArrayList<>();
        for (final DomainCapacity domain : domains) {
            addOrder(orders, service, domain, true, domain.reclaimableTarget(), now);
            addOrder(orders, service, domain, false, domain.onDemandTarget(), now);
        }
        return orders;
    }

    /**
     * Takes the list while another daemon orders, so that this one knows it when it takes over.
     *
     * @param service a service, with scaling limits or without
     * @param endpoints its endpoints that are not leaving
     * @param now the time
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
            // What the holder has ordered is wanted: where all of it goes, it was reclaimed.
            domains.forEach(domain -> domain.setReclaimableTarget(domain.currentCount(true)));
        }
    }

    /**
     * Notes an order of the daemon that orders now. Its endpoints are not listed before they have
     * started; one that takes over meanwhile would order fewer, and the platform give up those that
     * were about to start: twenty of them, two seconds before the last failure domain went.
     *
     * @param service the service
     * @param order an order that the platform has taken
     * @param now the time
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
     * Forgets which orders were sent to a domain that has lost endpoints. An order that was carried
     * out before the loss would otherwise count as under way for the time of a start: the same
     * number is not ordered again, and nothing else in its place.
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
     * Keeps endpoints on demand that are needed, whoever has ordered them. The holder before may
     * have ordered them for a fleet that was lost; a successor that never asked for them ordered
     * them away as they came up, and the service stood without endpoints for another start.
     */
    private static void adoptNeeded(final Collection<DomainCapacity> domains, final int need) {
        int missing = need - domains.stream().mapToInt(DomainCapacity::keptCount).sum();
        for (final DomainCapacity domain : domains) {
            missing -= domain.adoptOnDemand(missing);
        }
    }

    private int need(final String service, final Load load, final int initial) {
        final int held = mNeeds.getOrDefault(service, 0);
        if (load.demand().isEmpty()) {
            final int seen = (int) Math.ceil(endpointsFor(load.minimumDemand(), load));
            final int assumed = (int) Math.ceil(initial * INITIAL_NEED_SHARE);
            return Math.max(Math.max(held, seen), assumed);
        }
        final double need = endpointsFor(load.demand().getAsDouble(), load);
        if (need > held || need + NEED_SLACK < held) {
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
     * Counts the endpoints that are kept: what the demand needs, and what leaves enough of that if
     * reclaimable ones go. In a wave two more failure domains may go before anything that is
     * ordered at the next notice has started.
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
        final double surviving =
                need * (wave ? mSettings.survivingPartInWave() : mSettings.survivingPart());
        final int enough = (int) (need * mSettings.burstReserve());
        return Math.max(enough, atRisk + (int) Math.ceil(surviving));
    }

    /** Sets how many endpoints on demand are wanted, by what there is and what may go at once. */
    private void balanceOnDemand(
            final String service,
            final Collection<DomainCapacity> domains,
            final ScalingLimits limits,
            final int need,
            final Duration surplusFor,
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
        if (expected == kept || now.isBefore(since.plus(surplusFor))) {
            return;
        }
        // Only what serves already replaces an endpoint, not what is on its way.
        final int here = domains.stream().mapToInt(DomainCapacity::keptCount).sum();
        removeOnDemand(domains, limits.least(), here - kept, byPrice);
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
            final int goal,
            final Instant now) {
        if (goal == domain.currentCount(reclaimable)) {
            return;
        }
        final CapacityOrder order =
                new CapacityOrder(service.name(), domain.domain(), reclaimable, goal);
        final Duration rest =
                mRefused.contains(order)
                        ? REFUSED_RETRY_DELAY
                        : service.scaling().orElseThrow().bootTime().plus(BOOT_MARGIN);
        final Instant sent = mSent.get(order);
        if (sent == null || !now.isBefore(sent.plus(rest))) {
            mSent.put(order, now);
            orders.add(order);
        }
    }

    /**
     * Takes the platform's answer to an order.
     *
     * @param order the order
     * @param taken whether it was accepted; if not, none of that kind are to be had there
     */
    public void recordAnswer(final CapacityOrder order, final boolean taken) {
        if (order.reclaimable()) {
            mServices.get(order.service()).get(order.domain()).recordReclaimableAnswer(taken);
        }
        if (taken) {
            mRefused.remove(order);
        } else {
            mRefused.add(order);
        }
    }
}
