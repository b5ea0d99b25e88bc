package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Delays requests to endpoints of a version that was never seen before.
 *
 * <p>Endpoints of a new version are started by an order, but the order and the entries are read
 * separately, and a daemon that reads the entries first would send the new version its full share.
 * Orders reach all daemons within seconds, so a version without an order after that is an ordinary
 * replacement.
 */
final class VersionHold {

    /** The longest delay between reading the entries of new endpoints and their order. */
    static final Duration HOLD_TIME = Duration.ofMillis(2_000);

    private final Map<String, Map<String, Instant>> mReleasedAt = new HashMap<>();

    /** Observes the listed versions; the first ones of a service are not delayed. */
    void observe(final Collection<EndpointEntry> endpoints, final Instant now) {
        final Set<String> known = Set.copyOf(mReleasedAt.keySet());
        for (final EndpointEntry endpoint : endpoints) {
            final Instant release = known.contains(endpoint.service()) ? now.plus(HOLD_TIME) : now;
            mReleasedAt
                    .computeIfAbsent(endpoint.service(), name -> new HashMap<>())
                    .putIfAbsent(endpoint.version(), release);
        }
    }

    boolean isHeld(final EndpointEntry endpoint, final Instant now) {
        final Instant release =
                mReleasedAt.getOrDefault(endpoint.service(), Map.of()).get(endpoint.version());
        return release != null && now.isBefore(release);
    }
}
