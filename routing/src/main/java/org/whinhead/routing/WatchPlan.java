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
 * The endpoints that a daemon routes to, those of them that it polls, and the peers with which it
 * exchanges load reports.
 *
 * <p>All daemons of one failure domain that know the same endpoints compute the same watched ones
 * without messages, so they agree on the owners of a prefix and share their load reports.
 *
 * @param watched the endpoints to route to
 * @param polled the watched endpoints that this daemon polls for their load
 * @param peers the daemons that exchange load reports with this one
 */
public record WatchPlan(List<Endpoint> watched, List<EndpointId> polled, List<DaemonId> peers) {

    /** Copies the lists. */
    public WatchPlan {
        watched = List.copyOf(watched);
        polled = List.copyOf(polled);
        peers = List.copyOf(peers);
    }

    /**
     * Computes the plan of one daemon.
     *
     * @param own the daemon
     * @param daemons all live daemons, with or without this one
     * @param endpoints all endpoints
     * @param limits the limits of the plan
     * @return the plan
     */
    public static WatchPlan of(
            final DaemonLocation own,
            final List<DaemonLocation> daemons,
            final List<Endpoint> endpoints,
            final Limits limits) {
        final List<DaemonId> peers = peers(own, daemons, limits);
        final List<Endpoint> watched = watched(own.domain(), endpoints, limits);
        final List<EndpointId> polled = new ArrayList<>();
        for (final Endpoint endpoint : watched) {
            if (rendezvousRank(own.id(), peers, endpoint.id()) < limits.pollers()) {
                polled.add(endpoint.id());
            }
        }
        return new WatchPlan(watched, polled, peers);
    }

    private static List<DaemonId> peers(
            final DaemonLocation own, final List<DaemonLocation> daemons, final Limits limits) {
        final boolean isSmall = daemons.size() <= limits.maxPeers();
        final List<DaemonId> peers = new ArrayList<>();
        for (final DaemonLocation daemon : daemons) {
            final boolean isPeer = isSmall || daemon.domain().equals(own.domain());
            if (isPeer && !daemon.id().equals(own.id())) {
                peers.add(daemon.id());
            }
        }
        return peers;
    }

    private static List<Endpoint> watched(
            final FailureDomain domain, final List<Endpoint> endpoints, final Limits limits) {
        if (endpoints.size() <= limits.maxWatched()) {
            return endpoints;
        }
        final long key = RendezvousHash.hash(domain.toString());
        final List<Endpoint> candidates = new ArrayList<>(endpoints);
        candidates.sort(
                Comparator.<Endpoint>comparingInt(endpoint -> distance(domain, endpoint))
                        .thenComparingLong(endpoint -> score(key, endpoint.id().value())));
        final Set<Endpoint> selected = minimumOfEachTarget(candidates, limits.minPerTarget());
        for (final Endpoint endpoint : candidates) {
            if (selected.size() >= limits.maxWatched()) {
                break;
            }
            selected.add(endpoint);
        }
        return new ArrayList<>(selected);
    }

    /**
     * Selects a minimum number of endpoints of each model and service. Otherwise requests for a
     * model that no near endpoint serves would be refused while far endpoints idle.
     */
    private static Set<Endpoint> minimumOfEachTarget(
            final List<Endpoint> candidates, final int minimum) {
        final Map<Object, Integer> counts = new HashMap<>();
        final Set<Endpoint> selected = new LinkedHashSet<>();
        for (final Endpoint endpoint : candidates) {
            for (final Object target : targets(endpoint)) {
                final int count = counts.merge(target, 1, Integer::sum);
                if (count <= minimum) {
                    selected.add(endpoint);
                }
            }
        }
        return selected;
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
     * The limits of a watch plan.
     *
     * @param maxWatched the number of watched endpoints, unless the minima per target exceed it
     * @param minPerTarget the minimum number of watched endpoints of each model and service
     * @param pollers the number of daemons that poll the same endpoint
     * @param maxPeers the maximum number of daemons that exchange reports across failure domains
     */
    public record Limits(int maxWatched, int minPerTarget, int pollers, int maxPeers) {

        /** Covers all endpoints at the current size and a domain's share at the two-year size. */
        public static final Limits DEFAULT = new Limits(256, 8, 2, 32);

        /** Checks the ranges. */
        public Limits {
            Arguments.requireAtLeast(maxWatched, 1, "maxWatched");
            Arguments.requireAtLeast(minPerTarget, 1, "minPerTarget");
            Arguments.requireAtLeast(pollers, 1, "pollers");
            Arguments.requireAtLeast(maxPeers, 1, "maxPeers");
        }
    }
}
