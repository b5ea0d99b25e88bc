package org.whinhead.fleet;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Tunables of the reconciler.
 *
 * @param firstRest how long a refused supply rests at first
 * @param weightBytesPerSecond the weight store's rate
 * @param mostInTransition engines of a pool that may be without the wanted version at once during a
 *     rollout, beyond those that lack it when the rollout begins
 * @param mostStartsPerRound starts ordered in one round
 */
public record FleetSettings(
        Duration firstRest,
        long weightBytesPerSecond,
        int mostInTransition,
        int mostStartsPerRound) {

    /** Checks every part. */
    public FleetSettings {
        Arguments.requirePositive(firstRest, "firstRest");
        Arguments.requireAtLeast(weightBytesPerSecond, 1, "weightBytesPerSecond");
        Arguments.requireAtLeast(mostInTransition, 1, "mostInTransition");
        Arguments.requireAtLeast(mostStartsPerRound, 1, "mostStartsPerRound");
    }
}
