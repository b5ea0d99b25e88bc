package org.whinhead.serving.crash;

import java.time.Duration;

/**
 * The pauses after which requests that are refused are tried again, since endpoints may have been
 * mended. A trial that fails crashes one more endpoint, so there are at most three in a day.
 */
final class TrialSchedule {

    /** The pause before the first trial. */
    private static final Duration FIRST_DELAY = Duration.ofMinutes(1);

    /** Each trial that crashes an endpoint makes the next pause so many times as long. */
    private static final int BACKOFF = 15;

    private static final Duration MAX_DELAY = Duration.ofDays(2);

    private TrialSchedule() {}

    /**
     * Returns the pause from the last crash or trial to the next trial.
     *
     * @param level the level of the feature, {@link CrashSuspects#BLOCKED_LEVEL} or above
     * @return the pause
     */
    static Duration delay(final int level) {
        Duration delay = FIRST_DELAY;
        for (int trial = CrashSuspects.BLOCKED_LEVEL; trial < level; trial++) {
            delay = delay.multipliedBy(BACKOFF);
            if (delay.compareTo(MAX_DELAY) >= 0) {
                return MAX_DELAY;
            }
        }
        return delay;
    }
}
