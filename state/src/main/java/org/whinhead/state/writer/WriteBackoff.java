package org.whinhead.state.writer;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.whinhead.api.Arguments;

/**
 * Exponential backoff with jitter.
 *
 * <p>Each delay is random between half of the step and the whole step, so that daemons do not retry
 * at the same time after an outage and exceed the log's rate limit.
 */
public final class WriteBackoff {

    private static final int MAX_DOUBLINGS = 20;

    private final Duration mFirstStep;
    private final Duration mLongestStep;
    private final RandomGenerator mRandom;
    private int mFailures;

    /**
     * Creates a backoff without failures.
     *
     * @param first the step after the first failure
     * @param longest the upper limit of the step
     * @param random the source of the jitter
     */
    public WriteBackoff(
            final Duration first, final Duration longest, final RandomGenerator random) {
        mFirstStep = Arguments.requirePositive(first, "first");
        mLongestStep = Arguments.requirePositive(longest, "longest");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Resets the failure count after a success. */
    public void reset() {
        mFailures = 0;
    }

    /**
     * Counts a failure and returns the time of the next attempt.
     *
     * @param now the time
     * @param atLeast the shortest delay, as requested by the log
     * @return the earliest time of the next attempt
     */
    public Instant recordFailure(final Instant now, final Duration atLeast) {
        final long doubled = mFirstStep.toMillis() << Math.min(mFailures, MAX_DOUBLINGS);
        final long step = Math.min(doubled, mLongestStep.toMillis());
        mFailures++;
        final long delay = step / 2 + mRandom.nextLong(step / 2 + 1);
        return now.plusMillis(Math.max(delay, atLeast.toMillis()));
    }
}
