package org.whinhead.routing;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.model.FailureDomain;

/**
 * Settings of a router. Costs are in milliseconds of expected time to the first token, so that they
 * can be added.
 *
 * @param ownDomain the failure domain of this daemon
 * @param strategy the routing strategy
 * @param health the settings of the circuit breakers
 * @param costs the costs of endpoints
 */
public record RoutingSettings(
        FailureDomain ownDomain, RoutingStrategy strategy, HealthSettings health, Costs costs) {

    /** Checks that all components are present. */
    public RoutingSettings {
        Objects.requireNonNull(ownDomain, "ownDomain");
        Objects.requireNonNull(strategy, "strategy");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(costs, "costs");
    }

    /**
     * Returns the default settings of a daemon.
     *
     * @param ownDomain the failure domain of the daemon
     * @return the settings
     */
    public static RoutingSettings of(final FailureDomain ownDomain) {
        return new RoutingSettings(
                ownDomain, RoutingStrategy.AFFINITY, HealthSettings.DEFAULT, Costs.DEFAULT);
    }

    /**
     * Returns a copy with another strategy.
     *
     * @param next the strategy
     * @return a copy
     */
    public RoutingSettings withStrategy(final RoutingStrategy next) {
        return new RoutingSettings(ownDomain, next, health, costs);
    }

    /**
     * Returns a copy with other health settings.
     *
     * @param next the settings of the circuit breakers
     * @return a copy
     */
    public RoutingSettings withHealth(final HealthSettings next) {
        return new RoutingSettings(ownDomain, strategy, next, costs);
    }

    /**
     * The costs that a routing decision adds up for an endpoint.
     *
     * @param otherDomainMillis the cost of another failure domain of the region, in milliseconds
     * @param otherRegionMillis the cost of another region, in milliseconds
     * @param onDemandMillis the cost of a VM billed on demand, in milliseconds
     * @param fullBatchMillis the cost of a full batch over an empty one, in milliseconds
     * @param queuedMillis the cost of each request queued for a slot, in milliseconds
     * @param prefillMicrosPerToken the cost of each uncached prompt token, in microseconds
     * @param loadFactor the load up to which affinity fills an endpoint, as a multiple of the mean
     *     load, at least 1
     * @param transit the time until the load measured by an endpoint includes a sent request
     */
    public record Costs(
            double otherDomainMillis,
            double otherRegionMillis,
            double onDemandMillis,
            double fullBatchMillis,
            double queuedMillis,
            double prefillMicrosPerToken,
            double loadFactor,
            Duration transit) {

        /** The costs for a region with a latency of one millisecond between domains. */
        public static final Costs DEFAULT =
                new Costs(2, 80, 5, 60, 200, 150, 1.25, Duration.ofMillis(5));

        /** Checks the transit time and the load factor. */
        public Costs {
            Objects.requireNonNull(transit, "transit");
            if (!(loadFactor >= 1)) {
                throw new IllegalArgumentException("loadFactor is " + loadFactor + ", below 1");
            }
        }
    }
}
