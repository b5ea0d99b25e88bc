package org.whinhead.serving.reach;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tells a daemon's own loss of endpoints from the endpoints' failures.
 *
 * <p>An endpoint that this daemon doesn't reach is down, or this daemon's way to it is cut. Only
 * another daemon that reaches it shows which. So the evidence of a cut is an endpoint that was
 * reached through another daemon and not directly; connections that fail on both ways say nothing
 * about this daemon. Two such endpoints of a service without a direct success in between stand for
 * all of the service's endpoints: the daemon is cut off from the service.
 */
public final class EndpointReach {

    /**
     * The endpoints of a service that stand for all: a single one may be cut off from some daemons
     * by a fault of its own.
     */
    private static final int MIN_RELAYED_ENDPOINTS = 2;

    /** The endpoints of a service without an answer that put the own way in doubt. */
    private static final int MIN_UNANSWERED_ENDPOINTS = 2;

    /** The time for which they do; while requests fail, endpoints are checked more often. */
    private static final Duration DOUBT_TIME = Duration.ofSeconds(2);

    /** The interval between checks of whether a relayed endpoint is reached directly again. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(500);

    private final Map<String, RelayedEndpoint> mRelayed = new HashMap<>();
    private final Map<String, UnansweredEndpoint> mUnanswered = new HashMap<>();
    private final Map<String, Instant> mReachedAt = new HashMap<>();
    private Instant mRecheckedAt = Instant.EPOCH;

    /**
     * Returns the way to an endpoint that is tried first.
     *
     * @param endpoint the endpoint's id
     * @param service the endpoint's service
     * @return the way
     */
    public AccessPath pathTo(final String endpoint, final String service) {
        return mRelayed.containsKey(endpoint) || isCutOff(service)
                ? AccessPath.RELAYED
                : AccessPath.DIRECT;
    }

    /**
     * Returns whether this daemon reaches none of a service's endpoints, while other daemons do.
     *
     * @param service the service
     * @return true if it is cut off from the service
     */
    public boolean isCutOff(final String service) {
        final Instant reachedAt = mReachedAt.getOrDefault(service, Instant.EPOCH);
        return mRelayed.values().stream()
                        .filter(relayed -> relayed.mService.equals(service))
                        .filter(relayed -> relayed.mSince.isAfter(reachedAt))
                        .count()
                >= MIN_RELAYED_ENDPOINTS;
    }

    /**
     * Returns the services from whose endpoints this daemon is cut off.
     *
     * @return the names of the services
     */
    public Set<String> cutOffServices() {
        final Set<String> services = new HashSet<>();
        mRelayed.values().forEach(relayed -> services.add(relayed.mService));
        services.removeIf(service -> !isCutOff(service));
        return services;
    }

    /**
     * Records a response on a new direct connection.
     *
     * <p>If the endpoint was relayed until now, the cause has probably ended for the others, too,
     * so all of the service's endpoints are tried directly again.
     *
     * @param endpoint the endpoint's id
     * @param service the endpoint's service
     * @param now the current time
     */
    public void recordDirect(final String endpoint, final String service, final Instant now) {
        mReachedAt.put(service, now);
        if (mRelayed.containsKey(endpoint)) {
            mRelayed.values().removeIf(relayed -> relayed.mService.equals(service));
        }
    }

    /**
     * Records that an endpoint was reached through another daemon, and not directly.
     *
     * @param endpoint the endpoint's id
     * @param service the endpoint's service
     * @param directLoss what became of the direct connection
     * @param now the current time
     */
    public void recordRelayed(
            final String endpoint,
            final String service,
            final DirectLoss directLoss,
            final Instant now) {
        final RelayedEndpoint known = mRelayed.get(endpoint);
        if (known == null) {
            mRelayed.put(endpoint, new RelayedEndpoint(endpoint, service, directLoss, now));
        } else if (directLoss == DirectLoss.SILENT) {
            known.mDirectLoss = directLoss;
        }
    }

    /**
     * Records that a new direct connection to an endpoint failed or got no response.
     *
     * @param endpoint the endpoint's id
     * @param service the endpoint's service
     * @param now the current time
     */
    public void recordUnanswered(final String endpoint, final String service, final Instant now) {
        mUnanswered.put(endpoint, new UnansweredEndpoint(service, now));
    }

    /**
     * Returns whether this daemon may connect to an endpoint for another one, whose way is cut. One
     * that is about to find out that its own way is cut as well would lead the other astray.
     *
     * @param endpoint the endpoint's id
     * @param service the endpoint's service
     * @param now the current time
     * @return false if this daemon is cut off from the endpoint, or doesn't know whether it is
     */
    public boolean mayRelay(final String endpoint, final String service, final Instant now) {
        return pathTo(endpoint, service) == AccessPath.DIRECT && !isInDoubt(now);
    }

    /** Returns whether several endpoints of a service got no answer, and none a later one. */
    private boolean isInDoubt(final Instant now) {
        mUnanswered.values().removeIf(endpoint -> now.isAfter(endpoint.mAt.plus(DOUBT_TIME)));
        final Map<String, Integer> unanswered = new HashMap<>();
        for (final UnansweredEndpoint endpoint : mUnanswered.values()) {
            final Instant reachedAt = mReachedAt.getOrDefault(endpoint.mService, Instant.EPOCH);
            if (endpoint.mAt.isAfter(reachedAt)) {
                unanswered.merge(endpoint.mService, 1, Integer::sum);
            }
        }
        return unanswered.values().stream().anyMatch(count -> count >= MIN_UNANSWERED_ENDPOINTS);
    }

    /**
     * Returns whether the direct connections to an endpoint that are still open lead nowhere.
     *
     * @param endpoint the endpoint's id
     * @param service the endpoint's service
     * @return true if the endpoint is relayed, and new direct connections got no reply at all
     */
    public boolean isSilent(final String endpoint, final String service) {
        final RelayedEndpoint relayed = mRelayed.get(endpoint);
        if (relayed != null) {
            return relayed.mDirectLoss == DirectLoss.SILENT;
        }
        return isCutOff(service)
                && mRelayed.values().stream()
                        .filter(other -> other.mService.equals(service))
                        .allMatch(other -> other.mDirectLoss == DirectLoss.SILENT);
    }

    /**
     * Returns the relayed endpoint to check next, at a bounded rate: nothing else shows that the
     * direct way is open again, as no request uses it.
     *
     * @param now the current time
     * @return the endpoint's id; empty if no check is due
     */
    public Optional<String> nextRecheck(final Instant now) {
        if (mRelayed.isEmpty() || now.isBefore(mRecheckedAt.plus(RECHECK_INTERVAL))) {
            return Optional.empty();
        }
        mRecheckedAt = now;
        final RelayedEndpoint next =
                mRelayed.values().stream()
                        .min(
                                Comparator.comparing(
                                                (RelayedEndpoint relayed) -> relayed.mCheckedAt)
                                        .thenComparing(relayed -> relayed.mId))
                        .orElseThrow();
        next.mCheckedAt = now;
        return Optional.of(next.mId);
    }

    /**
     * Forgets endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        mRelayed.keySet().removeIf(endpoint -> !known.contains(endpoint));
        mUnanswered.keySet().removeIf(endpoint -> !known.contains(endpoint));
    }

    /**
     * Returns the number of endpoints that are reached only through other daemons.
     *
     * @return the number of relayed endpoints
     */
    public int relayedCount() {
        return mRelayed.size();
    }

    private static final class UnansweredEndpoint {
        private final String mService;
        private final Instant mAt;

        private UnansweredEndpoint(final String service, final Instant at) {
            mService = service;
            mAt = at;
        }
    }

    private static final class RelayedEndpoint {
        private final String mId;
        private final String mService;
        private final Instant mSince;
        private DirectLoss mDirectLoss;
        private Instant mCheckedAt;

        private RelayedEndpoint(
                final String id,
                final String service,
                final DirectLoss directLoss,
                final Instant since) {
            mId = id;
            mService = service;
            mDirectLoss = directLoss;
            mSince = since;
            mCheckedAt = since;
        }
    }
}
