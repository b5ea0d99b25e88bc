package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Holds work back from endpoints of a version that was never seen before.
 *
 * <p>Endpoints of a new version are started on an order, but the order and the entries are read
 * apart, and a daemon that reads the entries first would send the new version its full share.
 * Orders are in force everywhere within seconds, so a version that is still unnamed after that was
 * not ordered, and is an ordinary replacement.
 */
final class VersionHold {

    /** How long an order may be read later than the entries of endpoints that it starts. */
    static final Duration HOLD_TIME = Duration.ofMillis(2_000);

    private final Map<String, Map<String, Instant>> mReleasedAt = new HashMap<>();

    /** Notes which versions there are; those that come first of a service are not held back. */
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
