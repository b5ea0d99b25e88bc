package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.EndpointId;

/** The endpoints that were announced to leave; removed one minute after they left. */
final class LeavingEndpoints {

    private static final Duration RETENTION = Duration.ofMinutes(1);

    private final Map<EndpointId, Instant> mGoneBy = new HashMap<>();

    /** Records an announcement; of several for an endpoint, the earliest time applies. */
    void add(final EndpointId endpoint, final Instant goneBy) {
        mGoneBy.merge(endpoint, goneBy, (a, b) -> a.isBefore(b) ? a : b);
    }

    Optional<Instant> goneBy(final EndpointId endpoint) {
        return Optional.ofNullable(mGoneBy.get(endpoint));
    }

    Set<EndpointId> all() {
        return mGoneBy.keySet();
    }

    void removeExpired(final Instant now) {
        mGoneBy.values().removeIf(goneBy -> goneBy.plus(RETENTION).isBefore(now));
    }
}
