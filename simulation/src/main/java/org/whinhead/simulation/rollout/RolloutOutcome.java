package org.whinhead.simulation.rollout;

import java.time.Duration;
import org.whinhead.serving.rollout.RolloutState;

/**
 * How a simulated roll-out went.
 *
 * @param state how it was recorded at the end; running if it was never decided
 * @param decidedAfter the time from the order to the record
 * @param requests requests that reached the service within the time budget
 * @param exposed those that reached the new version
 * @param exposedLate requests that reached it more than five seconds after its 50th bad answer
 */
public record RolloutOutcome(
        RolloutState state, Duration decidedAfter, long requests, long exposed, long exposedLate) {

    /**
     * Tells whether a bad version got more than it may.
     *
     * @param share the part of the requests that it may get
     * @param slack requests beyond that
     * @return whether it got more, or got some long after it was known to be bad
     */
    public boolean isOverExposed(final double share, final int slack) {
        return exposed > share * requests + slack || exposedLate > 0;
    }
}
