package org.whinhead.serving.rollout;

import java.time.Duration;

/** One attempt of a request at an endpoint of a service with a roll-out in progress. */
public final class RolloutAttempt {

    private final OutcomeCounter mCounts;
    private final String mRoute;
    private final boolean mCanary;
    private boolean mAnswered;
    private boolean mFailed;

    RolloutAttempt(final OutcomeCounter counts, final String route, final boolean canary) {
        mCounts = counts;
        mRoute = route;
        mCanary = canary;
        counts.recordSend(route, canary);
    }

    /**
     * Records that the endpoint answered, or began to generate.
     *
     * @param latency the time from the send to the whole answer, or to a stream's first token
     */
    public void recordAnswer(final Duration latency) {
        if (!mAnswered) {
            mAnswered = true;
            mCounts.recordAnswer(mRoute, mCanary, latency);
        }
    }

    /**
     * Records that the endpoint failed the request by its answer, or corrupted a stream after the
     * first token. A lost connection doesn't count as a failure of the version: VMs are reclaimed
     * and crash with any version.
     */
    public void recordFailure() {
        if (!mFailed) {
            mFailed = true;
            mCounts.recordFailure(mRoute, mCanary);
        }
    }
}
