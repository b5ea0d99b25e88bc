package org.whinhead.serving.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.ratelimit.RequestRateLimit;
import org.whinhead.serving.ratelimit.StatedLimits;

/** The capacity that is missing since endpoints name limits of requests per second. */
public final class LimitedCapacity {

    /** The share of its usual requests below which an endpoint counts as missing. */
    private static final double MIN_USUAL_SHARE = 0.5;

    private LimitedCapacity() {}

    /**
     * Returns the number of endpoints whose limits leave them little of what they usually serve.
     *
     * <p>Only limits that have lasted for as long as another endpoint takes to start count: one
     * that ends before would be replaced in vain.
     *
     * @param endpoints endpoints of one service
     * @param limits the limits that endpoints name
     * @param usualPerSecond the requests per second that one endpoint usually serves
     * @param minAge the time that a limit must have lasted
     * @param now the current time
     * @return the number of endpoints
     */
    public static int missingEndpoints(
            final Collection<EndpointEntry> endpoints,
            final StatedLimits limits,
            final double usualPerSecond,
            final Duration minAge,
            final Instant now) {
        return (int)
                endpoints.stream()
                        .map(EndpointEntry::id)
                        .filter(
                                id ->
                                        limits.limit(id)
                                                .map(RequestRateLimit::perSecond)
                                                .filter(
                                                        limit ->
                                                                limit
                                                                        < MIN_USUAL_SHARE
                                                                                * usualPerSecond)
                                                .isPresent())
                        .filter(
                                id ->
                                        limits.knownSince(id)
                                                .filter(since -> !now.isBefore(since.plus(minAge)))
                                                .isPresent())
                        .count();
    }
}
