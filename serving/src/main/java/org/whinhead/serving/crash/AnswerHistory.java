package org.whinhead.serving.crash;

import java.time.Duration;

/** How often requests with a feature were answered lately, at one daemon. */
public enum AnswerHistory {
    /** Not at all: crashes are all that is known of it. */
    NONE(Duration.ofMinutes(1), 15),

    /** At least once, as some requests are whose feature crashes endpoints nearly always. */
    SOME(Duration.ofMinutes(1), 15),

    /**
     * Several times: it is innocent more often than not, and was on endpoints that crashed for
     * other reasons. That holds for some seconds only, so that few trials follow.
     */
    MANY(Duration.ofSeconds(5), 3);

    private static final Duration MAX_DELAY = Duration.ofDays(2);

    private final Duration mFirstTrialDelay;
    private final int mTrialBackoff;

    AnswerHistory(final Duration firstTrialDelay, final int trialBackoff) {
        mFirstTrialDelay = firstTrialDelay;
        mTrialBackoff = trialBackoff;
    }

    /** Returns whether one crash doesn't hold up the requests. */
    boolean outweighsOneCrash() {
        return this != NONE;
    }

    /** Returns whether another suspected request on the same endpoint is to blame rather. */
    boolean outweighsOthers() {
        return this == MANY;
    }

    /**
     * Returns the pause from the last crash or trial to the next trial of requests that are
     * refused: their endpoints may have been mended. A trial that fails crashes one more endpoint,
     * so there are three in a day at most if nothing else is known.
     *
     * @param level the level of the feature, {@link CrashSuspects#BLOCKED_LEVEL} or above
     */
    Duration trialDelay(final int level) {
        Duration delay = mFirstTrialDelay;
        for (int trial = CrashSuspects.BLOCKED_LEVEL; trial < level; trial++) {
            delay = delay.multipliedBy(mTrialBackoff);
            if (delay.compareTo(MAX_DELAY) >= 0) {
                return MAX_DELAY;
            }
        }
        return delay;
    }
}
