package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;

/**
 * Counts which part of the new version's answers its endpoints gave under load. A fault that needs
 * load shows in no others.
 */
final class LoadedAnswerCounter {

    /** How long endpoints that begin to get requests are not under load yet. */
    private static final Duration RAMP_UP_TIME = Duration.ofMillis(1_000);

    private Instant mCanarySince;
    private long mAnswers;
    private long mUnloaded;

    /**
     * Takes the count of answers.
     *
     * @param answers answers since this daemon holds the duties
     * @param share the share of requests that the new version gets
     * @param now the time
     */
    void update(final long answers, final double share, final Instant now) {
        if (mCanarySince == null && share > 0) {
            mCanarySince = now;
        }
        final boolean starts =
                mCanarySince != null && now.isBefore(mCanarySince.plus(RAMP_UP_TIME));
        if (starts || share == 1) {
            mUnloaded += answers - mAnswers;
        }
        mAnswers = answers;
    }

    /**
     * Returns the part that was given under load.
     *
     * @param answers all answers, those from before this daemon held the duties included
     * @return 0 to 1; 0 without answers
     */
    double loadedShare(final long answers) {
        return answers == 0 ? 0 : Math.max(1 - (double) mUnloaded / answers, 0);
    }
}
