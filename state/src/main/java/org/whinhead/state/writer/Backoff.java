package org.whinhead.state.writer;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.whinhead.api.Arguments;

/**
 * Exponential back-off with jitter.
 *
 * <p>Guards against a fleet that tries again in step after an outage and so exceeds the log's cap
 * at once: each delay is drawn between half of the step and the whole.
 */
public final class Backoff {

    private static final int MAX_DOUBLINGS = 20;

    private final Duration mFirstStep;
    private final Duration mLongestStep;
    private final RandomGenerator mRandom;
    private int mFailures;

    /**
     * Makes a back-off without failures.
     *
     * @param first the step after the first failure
     * @param longest the longest step
     * @param random the source of the jitter
     */
    public Backoff(final Duration first, final Duration longest, final RandomGenerator random) {
        mFirstStep = Arguments.requirePositive(first, "first");
        mLongestStep = Arguments.requirePositive(longest, "longest");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /** Forgets the failures. */
    public void reset() {
        mFailures = 0;
    }

    /**
     * Counts a failure.
     *
     * @param now the time
     * @param atLeast what the other side asked to wait
     * @return when to try again
     */
    public Instant recordFailure(final Instant now, final Duration atLeast) {
        final long doubled = mFirstStep.toMillis() << Math.min(mFailures, MAX_DOUBLINGS);
        final long step = Math.min(doubled, mLongestStep.toMillis());
        mFailures++;
        final long delay = step / 2 + mRandom.nextLong(step / 2 + 1);
        return now.plusMillis(Math.max(delay, atLeast.toMillis()));
    }
}
