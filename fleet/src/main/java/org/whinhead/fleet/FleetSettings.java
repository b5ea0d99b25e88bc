package org.whinhead.fleet;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The settings of the reconciler.
 *
 * @param firstRest the backoff of a supply after its first refused start
 * @param weightBytesPerSecond the transfer rate of the weight store, in bytes per second
 * @param mostInTransition the maximum number of engines of a pool that load the wanted version at
 *     once during a rollout; does not limit engines without any model
 * @param mostStartsPerRound the maximum number of VM starts per pool in one round
 */
public record FleetSettings(
        Duration firstRest,
        long weightBytesPerSecond,
        int mostInTransition,
        int mostStartsPerRound) {

    /** Validates the components. */
    public FleetSettings {
        Arguments.requirePositive(firstRest, "firstRest");
        Arguments.requireAtLeast(weightBytesPerSecond, 1, "weightBytesPerSecond");
        Arguments.requireAtLeast(mostInTransition, 1, "mostInTransition");
        Arguments.requireAtLeast(mostStartsPerRound, 1, "mostStartsPerRound");
    }
}
