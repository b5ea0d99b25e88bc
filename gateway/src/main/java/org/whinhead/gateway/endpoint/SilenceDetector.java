package org.whinhead.gateway.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Finds endpoints that may have become unreachable while connections to them are open, or although
 * connections to them are accepted.
 *
 * <p>A connection whose packets get lost shows nothing: requests on it wait until their deadline,
 * and more of them follow as long as there are idle connections. An endpoint that is busy is silent
 * as well, but rarely all endpoints of a service at once. So silence of the whole service is
 * checked soon, and that of a single endpoint late.
 */
final class SilenceDetector {

    /** Far longer than a usual call, or than the time between two events of a stream. */
    static final Duration SERVICE_SILENCE = Duration.ofMillis(250);

    /** First tokens take up to a second on a busy engine. */
    private static final Duration ENDPOINT_SILENCE = Duration.ofMillis(1_000);

    /** The interval between checks for the same reason, each of which costs health checks. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(1_000);

    /** The endpoints of a silent service that are checked at once; fewer prove no cut. */
    private static final int ENDPOINTS_PER_SERVICE = 2;

    private final EndpointConnections mConnections;
    private final Function<String, List<EndpointEntry>> mListed;
    private final RandomGenerator mRandom;
    private final Map<String, Instant> mServiceSuspectedAt = new HashMap<>();
    private Instant mEndpointSuspectedAt = Instant.EPOCH;

    /**
     * Creates a detector.
     *
     * @param connections the connections of requests
     * @param listed returns the endpoints of a service
     * @param random selects among them
     */
    SilenceDetector(
            final EndpointConnections connections,
            final Function<String, List<EndpointEntry>> listed,
            final RandomGenerator random) {
        mConnections = connections;
        mListed = listed;
        mRandom = random;
    }

    /**
     * Returns the endpoints to check now.
     *
     * @param now the current time
     * @return the endpoints' ids
     */
    Set<String> suspects(final Instant now) {
        final Map<String, Set<String>> silentServices = new HashMap<>();
        final Set<String> suspects = new LinkedHashSet<>();
        for (final EndpointConnection connection : waitingLongestFirst()) {
            final EndpointConnections.Pool pool = connection.pool();
            if (isServiceSilent(connection, now)) {
                silentServices
                        .computeIfAbsent(pool.service(), service -> new LinkedHashSet<>())
                        .add(pool.endpoint());
            } else if (isEndpointSilent(connection, now) && isDue(mEndpointSuspectedAt, now)) {
                mEndpointSuspectedAt = now;
                suspects.add(pool.endpoint());
            }
        }
        silentServices.forEach(
                (service, endpoints) -> {
                    if (isDue(mServiceSuspectedAt.getOrDefault(service, Instant.EPOCH), now)) {
                        mServiceSuspectedAt.put(service, now);
                        suspects.addAll(representatives(service, endpoints));
                    }
                });
        return suspects;
    }

    /**
     * Returns the endpoints to check after a new connection was lost before its first response.
     *
     * @param lost the pool of the connection
     * @param now the current time
     * @return the endpoints' ids
     */
    Set<String> suspectsAfterLoss(final EndpointConnections.Pool lost, final Instant now) {
        return suspectsOf(lost.service(), Set.of(lost.endpoint()), now);
    }

    /**
     * Returns the endpoints of a service to check after another one was found out of reach.
     *
     * @param service the service
     * @param now the current time
     * @return the endpoints' ids
     */
    Set<String> suspectsOf(final String service, final Instant now) {
        return suspectsOf(service, Set.of(), now);
    }

    private Set<String> suspectsOf(
            final String service, final Set<String> first, final Instant now) {
        if (!isDue(mServiceSuspectedAt.getOrDefault(service, Instant.EPOCH), now)) {
            return Set.of();
        }
        mServiceSuspectedAt.put(service, now);
        return new LinkedHashSet<>(representatives(service, first));
    }

    /**
     * Returns the silent endpoints of a service, with others of it if they are too few: at random,
     * as many daemons may check a service in the same second.
     */
    private List<String> representatives(final String service, final Set<String> silent) {
        final Set<String> chosen = new LinkedHashSet<>(silent);
        final List<EndpointEntry> others = new ArrayList<>(mListed.apply(service));
        while (chosen.size() < ENDPOINTS_PER_SERVICE && !others.isEmpty()) {
            chosen.add(others.remove(mRandom.nextInt(others.size())).id());
        }
        return chosen.stream().limit(ENDPOINTS_PER_SERVICE).toList();
    }

    private List<EndpointConnection> waitingLongestFirst() {
        final List<EndpointConnection> waiting = new ArrayList<>(mConnections.waitingDirectly());
        waiting.sort(Comparator.comparing(connection -> connection.waitingSince().orElseThrow()));
        return waiting;
    }

    /** Returns whether a connection waits, and nothing came from any endpoint of its service. */
    private boolean isServiceSilent(final EndpointConnection connection, final Instant now) {
        final Instant since = now.minus(SERVICE_SILENCE);
        return !connection.waitingSince().orElse(now).isAfter(since)
                && !mConnections.receivedAt(connection.pool().service()).isAfter(since);
    }

    private static boolean isEndpointSilent(
            final EndpointConnection connection, final Instant now) {
        final Instant since = now.minus(ENDPOINT_SILENCE);
        return !connection.waitingSince().orElse(now).isAfter(since)
                && !connection.pool().receivedAt().isAfter(since);
    }

    private static boolean isDue(final Instant last, final Instant now) {
        return !now.isBefore(last.plus(MIN_INTERVAL));
    }
}
