package org.whinhead.routing;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.model.FailureDomain;

/**
 * The weights of a routing decision; every cost is in milliseconds of expected time to the first
 * token, so that they add up.
 *
 * @param ownDomain the failure domain that this daemon stands in
 * @param strategy how endpoints are chosen
 * @param health when endpoints become suspect
 * @param costs what the parts of a decision cost
 */
public record RoutingSettings(
        FailureDomain ownDomain, RoutingStrategy strategy, HealthSettings health, Costs costs) {

    /** Checks every part. */
    public RoutingSettings {
        Objects.requireNonNull(ownDomain, "ownDomain");
        Objects.requireNonNull(strategy, "strategy");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(costs, "costs");
    }

    /**
     * Returns the usual settings of a daemon.
     *
     * @param ownDomain the failure domain that it stands in
     * @return the settings
     */
    public static RoutingSettings of(final FailureDomain ownDomain) {
        return new RoutingSettings(
                ownDomain, RoutingStrategy.AFFINITY, HealthSettings.DEFAULT, Costs.DEFAULT);
    }

    /**
     * Returns these settings with another strategy.
     *
     * @param next the strategy
     * @return a copy
     */
    public RoutingSettings withStrategy(final RoutingStrategy next) {
        return new RoutingSettings(ownDomain, next, health, costs);
    }

    /**
     * Returns these settings with other rules of health.
     *
     * @param next when endpoints become suspect
     * @return a copy
     */
    public RoutingSettings withHealth(final HealthSettings next) {
        return new RoutingSettings(ownDomain, strategy, next, costs);
    }

    /**
     * What the parts of a decision cost.
     *
     * @param otherDomainMillis an endpoint of another failure domain of the region
     * @param otherRegionMillis an endpoint of another region
     * @param onDemandMillis an endpoint that is billed on demand
     * @param fullBatchMillis a batch with every slot taken, against an empty one
     * @param queuedMillis each request that waits for a slot
     * @param prefillMicrosPerToken each prompt token that is not in the cache
     * @param loadFactor how far above the mean load affinity may fill an endpoint
     * @param transit how long a send takes to show in an endpoint's own count
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

        /** Costs for a region whose domains are a millisecond apart. */
        public static final Costs DEFAULT =
                new Costs(2, 80, 5, 60, 200, 150, 1.25, Duration.ofMillis(5));

        /** Checks what a decision divides by or subtracts. */
        public Costs {
            Objects.requireNonNull(transit, "transit");
            if (!(loadFactor >= 1)) {
                throw new IllegalArgumentException("loadFactor is " + loadFactor + ", below 1");
            }
        }
    }
}
