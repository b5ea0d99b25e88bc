package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Tokens that a share has issued within a window, and the tokens that it may still issue.
 *
 * <p>The tokens spent in any time that is no longer than the window are at most a burst and the
 * refill of that time. A token bucket with the same bound over the window would refill at the whole
 * rate, so that its burst were a part of what a customer may spend at once after a calm window.
 */
final class IssueHistory {

    /** Issues are summed over steps of this length, so that their number does not matter. */
    private static final long STEP_NANOS = Duration.ofMillis(100).toNanos();

    private static final int FORECAST_STEPS = 10;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Instant mOrigin;
    private final Deque<Step> mSteps = new ArrayDeque<>();
    private double mScale = 1;

    /**
     * Creates an empty history.
     *
     * @param origin a time close to the first issue, from which times are counted
     */
    IssueHistory(final Instant origin) {
        mOrigin = origin;
    }

    /**
     * Adds issued tokens.
     *
     * @param tokens the number of tokens
     * @param spentUntil the latest time at which they are spent, no earlier than that of the others
     * @return the step, for {@link #remove}
     */
    Step add(final double tokens, final Instant spentUntil) {
        final long nanos = nanos(spentUntil);
        final Step last = mSteps.peekLast();
        if (last != null && last.mScale == mScale && nanos - last.mFirstNanos < STEP_NANOS) {
            last.mTokens += tokens;
            last.mLastNanos = Math.max(last.mLastNanos, nanos);
            return last;
        }
        final Step step = new Step(nanos, tokens, mScale);
        mSteps.addLast(step);
        return step;
    }

    /** Removes tokens that were added to a step and are not spent. */
    void remove(final Step step, final double tokens) {
        step.mTokens -= tokens;
    }

    /**
     * Counts earlier issues in proportion to the limits, which have changed: a customer that used a
     * part of its allowance uses the same part of a lower one. They never count more than once.
     *
     * @param ratio the tokens of a window by the new limits, as a fraction of those by the old ones
     */
    void rescale(final double ratio) {
        mScale /= ratio;
    }

    /** Returns the tokens that may be issued at a time; negative if the share is overdrawn. */
    double level(final ShareLimits limits, final Instant at) {
        final long now = nanos(at);
        final long oldest = now - limits.window().toNanos();
        double level = limits.capacityTokens();
        double issued = 0;
        final Iterator<Step> newestFirst = mSteps.descendingIterator();
        while (newestFirst.hasNext()) {
            final Step step = newestFirst.next();
            if (step.mLastNanos < oldest) {
                break;
            }
            issued += step.mTokens * Math.min(step.mScale / mScale, 1);
            final double seconds = Math.max(now - step.mLastNanos, 0) / NANOS_PER_SECOND;
            final double refilled = seconds * limits.tokensPerSecond();
            level = Math.min(level, limits.capacityTokens() + refilled - issued);
        }
        return level;
    }

    /**
     * Returns the fastest rise of the level from a time on if nothing is issued, in tokens per
     * second, within {@link ShareEstimate#FORECAST_TIME}.
     */
    double gainPerSecond(final ShareLimits limits, final Instant at) {
        final double level = level(limits, at);
        double gain = limits.tokensPerSecond();
        for (int step = 1; step <= FORECAST_STEPS; step++) {
            final Duration time =
                    ShareEstimate.FORECAST_TIME.multipliedBy(step).dividedBy(FORECAST_STEPS);
            final double risen = level(limits, at.plus(time)) - level;
            gain = Math.max(gain, risen * NANOS_PER_SECOND / time.toNanos());
        }
        return gain;
    }

    /** Drops the issues that no window which ends at a time or later contains. */
    void dropBefore(final Instant time) {
        final long oldest = nanos(time);
        while (!mSteps.isEmpty() && mSteps.peekFirst().mLastNanos < oldest) {
            mSteps.removeFirst();
        }
    }

    boolean isEmpty() {
        return mSteps.isEmpty();
    }

    private long nanos(final Instant time) {
        return Duration.between(mOrigin, time).toNanos();
    }

    /** Issues of a short time. */
    static final class Step {
        private final long mFirstNanos;
        private final double mScale;
        private long mLastNanos;
        private double mTokens;

        private Step(final long nanos, final double tokens, final double scale) {
            mFirstNanos = nanos;
            mLastNanos = nanos;
            mTokens = tokens;
            mScale = scale;
        }
    }
}
