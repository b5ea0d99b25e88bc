package org.whinhead.simulation.rollout;

import java.time.Duration;
import org.whinhead.serving.rollout.RolloutState;

/**
 * The result of a simulated roll-out.
 *
 * @param state the recorded final state; {@link RolloutState#RUNNING} if none was recorded
 * @param decidedAfter the time from the order to the final record; zero if there is none
 * @param requests the number of requests that reached the service within the time budget
 * @param exposed the number of requests that reached the new version
 * @param exposedLate the number of requests that reached the new version more than five seconds
 *     after its 50th bad answer
 */
public record RolloutOutcome(
        RolloutState state, Duration decidedAfter, long requests, long exposed, long exposedLate) {

    /**
     * Returns whether a bad version received more requests than allowed.
     *
     * @param share the allowed share of the requests (0 to 1)
     * @param slack the number of requests allowed beyond the share
     * @return whether the bound is exceeded or any request was exposed late
     */
    public boolean isOverExposed(final double share, final int slack) {
        return exposed > share * requests + slack || exposedLate > 0;
    }
}
