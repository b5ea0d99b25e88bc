package org.whinhead.serving.rollout;

import java.time.Duration;

/** One send of a request to an endpoint of a service that a roll-out is under way for. */
public final class RolloutAttempt {

    private final OutcomeCounter mCounts;
    private final String mRoute;
    private final boolean mCanary;
    private boolean mAnswered;
    private boolean mFailed;

    RolloutAttempt(final OutcomeCounter counts, final String route, final boolean onTrial) {
        mCounts = counts;
        mRoute = route;
        mCanary = onTrial;
        counts.recordSend(route, onTrial);
    }

    /**
     * Notes that the endpoint answered, or began to generate.
     *
     * @param taken the time from the send to the whole answer, or to a stream's first token
     */
    public void recordAnswer(final Duration taken) {
        if (!mAnswered) {
            mAnswered = true;
            mCounts.recordAnswer(mRoute, mCanary, taken);
        }
    }

    /**
     * Notes that the endpoint failed the request by its answer, or spoiled a stream behind its
     * first token. A connection that is lost says nothing of the version: VMs are reclaimed and
     * crash at any version.
     */
    public void recordFailure() {
        if (!mFailed) {
            mFailed = true;
            mCounts.recordFailure(mRoute, mCanary);
        }
    }
}
