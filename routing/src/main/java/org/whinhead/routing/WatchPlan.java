package org.whinhead.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;

/**
 * Which endpoints a daemon routes to, which of them it polls, and which peers it trades reports
 * with.
 *
 * <p>All daemons of one failure domain that know the same table get the same watched endpoints
 * without talking, so they agree on the owner of a prefix and share one set of reports.
 *
 * @param watched the endpoints to route to
 * @param polled those of them that this daemon asks for their load
 * @param peers the daemons that get its reports and whose reports it takes
 */
public record WatchPlan(List<Endpoint> watched, List<EndpointId> polled, List<DaemonId> peers) {

    /** Copies the lists. */
    public WatchPlan {
        watched = List.copyOf(watched);
        polled = List.copyOf(polled);
        peers = List.copyOf(peers);
    }

    /**
     * Works out one daemon's plan.
     *
     * @param own the daemon
     * @param daemons every live daemon, itself included or not
     * @param endpoints every endpoint
     * @param limits how much may be watched
     * @return the plan
     */
    public static WatchPlan of(
            final DaemonLocation own,
            final List<DaemonLocation> daemons,
            final List<Endpoint> endpoints,
            final Limits limits) {
        final List<DaemonId> group = peers(own, daemons, limits);
        final List<Endpoint> watched = watched(own.domain(), endpoints, limits);
        final List<EndpointId> polled = new ArrayList<>();
        for (final Endpoint endpoint : watched) {
            if (rendezvousRank(own.id(), group, endpoint.id()) < limits.pollers()) {
                polled.add(endpoint.id());
            }
        }
        return new WatchPlan(watched, polled, group);
    }

    private static List<DaemonId> peers(
            final DaemonLocation own, final List<DaemonLocation> daemons, final Limits limits) {
        final boolean isSmall = daemons.size() <= limits.maxPeers();
        final List<DaemonId> group = new ArrayList<>();
        for (final DaemonLocation daemon : daemons) {
            final boolean isNear = isSmall || daemon.domain().equals(own.domain());
            if (isNear && !daemon.id().equals(own.id())) {
                group.add(daemon.id());
            }
        }
        return group;
    }

    private static List<Endpoint> watched(
            final FailureDomain domain, final List<Endpoint> endpoints, final Limits limits) {
        if (endpoints.size() <= limits.maxWatched()) {
            return endpoints;
        }
        final long key = RendezvousHash.hash(domain.toString());
        final List<Endpoint> ordered = new ArrayList<>(endpoints);
        ordered.sort(
                Comparator.<Endpoint>comparingInt(endpoint -> distance(domain, endpoint))
                        .thenComparingLong(endpoint -> score(key, endpoint.id().value())));
        final Set<Endpoint> chosen = minimumOfEachTarget(ordered, limits.minPerTarget());
        for (final Endpoint endpoint : ordered) {
            if (chosen.size() >= limits.maxWatched()) {
                break;
            }
            chosen.add(endpoint);
        }
        return new ArrayList<>(chosen);
    }

    /**
     * Guards against a model that no near endpoint serves: its requests would be refused here while
     * far endpoints idle. A few endpoints of each model and service come first.
     */
    private static Set<Endpoint> minimumOfEachTarget(final List<Endpoint> ordered, final int few) {
        final Map<Object, Integer> counts = new HashMap<>();
        final Set<Endpoint> chosen = new LinkedHashSet<>();
        for (final Endpoint endpoint : ordered) {
            for (final Object target : targets(endpoint)) {
                final int count = counts.merge(target, 1, Integer::sum);
                if (count <= few) {
                    chosen.add(endpoint);
                }
            }
        }
        return chosen;
    }

    private static Set<?> targets(final Endpoint endpoint) {
        if (endpoint.kind() == EndpointKind.PLAIN_SERVICE) {
            return Set.of(endpoint.service());
        }
        final Set<ModelRef> models = endpoint.models();
        return models;
    }

    private static int distance(final FailureDomain from, final Endpoint endpoint) {
        final FailureDomain domain = endpoint.vm().domain();
        if (domain.equals(from)) {
            return 0;
        }
        return domain.region().equals(from.region()) ? 1 : 2;
    }

    private static int rendezvousRank(
            final DaemonId own, final List<DaemonId> others, final EndpointId endpoint) {
        final long key = RendezvousHash.hash(endpoint.value());
        final long ownScore = score(key, own.value());
        int rank = 0;
        for (final DaemonId other : others) {
            if (score(key, other.value()) > ownScore) {
                rank++;
            }
        }
        return rank;
    }

    private static long score(final long key, final String member) {
        return RendezvousHash.score(RendezvousHash.hash(member), key);
    }

    /**
     * How much a daemon watches.
     *
     * @param maxWatched the most endpoints that it routes to
     * @param minPerTarget endpoints of each model and service that it watches in any case
     * @param pollers how many daemons poll the same endpoint
     * @param maxPeers the most daemons that trade reports across failure domains
     */
    public record Limits(int maxWatched, int minPerTarget, int pollers, int maxPeers) {

        /** All at today's sizes; a domain's share at the two-year size. */
        public static final Limits DEFAULT = new Limits(256, 8, 2, 32);

        /** Checks every part. */
        public Limits {
            Arguments.requireAtLeast(maxWatched, 1, "maxWatched");
            Arguments.requireAtLeast(minPerTarget, 1, "minPerTarget");
            Arguments.requireAtLeast(pollers, 1, "pollers");
            Arguments.requireAtLeast(maxPeers, 1, "maxPeers");
        }
    }
}
