package org.whinhead.serving.crash;

import java.time.Duration;

/** The pauses after which a request that is refused is tried again. */
final class TrialSchedule {

    /** The pause before the first trial. */
    private static final Duration FIRST_DELAY = Duration.ofSeconds(5);

    /** Each trial that crashes an endpoint makes the next pause so many times as long. */
    private static final int BACKOFF = 6;

    private static final Duration MAX_DELAY = Duration.ofHours(1);

    private TrialSchedule() {}

    /**
     * Returns the pause from the last crash or trial to the next trial.
     *
     * @param level the level of the request, {@link CrashSuspects#BLOCKED_LEVEL} or above
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
