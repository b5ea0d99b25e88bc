package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;

/** Counts the new version's answers under load: a fault that needs load shows in no others. */
final class LoadedAnswerCounter {

    /** The time after the first requests during which endpoints aren't under load yet. */
    private static final Duration RAMP_UP_TIME = Duration.ofMillis(1_000);

    private Instant mCanarySince;
    private long mAnswers;
    private long mUnloaded;

    /**
     * Updates the number of answers.
     *
     * @param answers the number of answers since this daemon holds the lease
     * @param share the share of requests that the new version receives, 0 to 1
     * @param now the current time
     */
    void update(final long answers, final double share, final Instant now) {
        if (mCanarySince == null && share > 0) {
            mCanarySince = now;
        }
        final boolean rampingUp =
                mCanarySince != null && now.isBefore(mCanarySince.plus(RAMP_UP_TIME));
        if (rampingUp || share == 1) {
            mUnloaded += answers - mAnswers;
        }
        mAnswers = answers;
    }

    /**
     * Returns the share of answers that were given under load.
     *
     * @param answers the number of all answers, also from before this daemon held the lease
     * @return 0 to 1; 0 without answers
     */
    double loadedShare(final long answers) {
        return answers == 0 ? 0 : Math.max(1 - (double) mUnloaded / answers, 0);
    }
}
