package org.whinhead.serving.speed;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits how often a daemon tells all others of endpoints that have changed their speed, so that
 * the number that each daemon receives doesn't grow with the deployment.
 *
 * <p>A change of one endpoint is told as often as estimates need to follow it. When many endpoints
 * change together, as under load or in a wave of reclaims, most are left to the periodic reports.
 */
public final class SpeedNewsBudget {

    /** The messages that tell of one change: one every 60 ms for 450 ms. */
    private static final int MESSAGES_OF_CHANGE = 8;

    /** The messages per second that a daemon receives from all others: about as many as reports. */
    private static final double RECEIVED_PER_SECOND = 45;

    private double mLeft = MESSAGES_OF_CHANGE;
    private Instant mCountedAt;

    /**
     * Takes a message from the budget.
     *
     * @param daemons the number of daemons of the deployment, this one included
     * @param now the current time
     * @return whether the message may be sent
     */
    public boolean take(final int daemons, final Instant now) {
        if (mCountedAt != null) {
            final double seconds = Duration.between(mCountedAt, now).toNanos() / 1e9;
            final double perSecond = RECEIVED_PER_SECOND / Math.max(daemons - 1, 1);
            mLeft = Math.min(mLeft + seconds * perSecond, MESSAGES_OF_CHANGE);
        }
        mCountedAt = now;
        if (mLeft < 1) {
            return false;
        }
        mLeft--;
        return true;
    }
}
