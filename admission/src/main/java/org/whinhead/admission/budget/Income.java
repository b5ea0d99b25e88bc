package org.whinhead.admission.budget;

import java.time.Duration;
import java.time.Instant;

/** Tokens that come in at a rate, saved up to a bound. */
final class Income {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Duration mBurst;
    private double mPerSecond;
    private double mTokens;
    private Instant mUpTo;

    Income(final Duration burst, final Instant from) {
        mBurst = burst;
        mUpTo = from;
    }

    /** Sets the rate from a moment on. */
    void rate(final double perSecond, final Instant now) {
        accrue(now);
        mPerSecond = perSecond;
        mTokens = Math.min(mTokens, bound());
    }

    /** Forgets what was saved and starts to accrue at a moment. */
    void restart(final Instant from) {
        mTokens = 0;
        mUpTo = from;
    }

    void accrue(final Instant now) {
        if (now.isAfter(mUpTo)) {
            final double seconds = Duration.between(mUpTo, now).toNanos() / NANOS_PER_SECOND;
            mTokens = Math.min(bound(), mTokens + seconds * mPerSecond);
            mUpTo = now;
        }
    }

    long available() {
        return (long) mTokens;
    }

    /** Tells whether no more can be saved up. */
    boolean isFull() {
        return mPerSecond > 0 && mTokens >= bound();
    }

    void take(final long tokens) {
        mTokens -= tokens;
    }

    void giveBack(final long tokens) {
        mTokens = Math.min(bound(), mTokens + tokens);
    }

    /** Saves up to the bound at once. */
    void fill() {
        mTokens = bound();
    }

    /** Returns how long it takes until there are enough tokens, or until no more are saved up. */
    Duration timeUntil(final long tokens) {
        final double missing = Math.min(tokens, bound()) - mTokens;
        final double seconds = mPerSecond == 0 ? mBurst.toSeconds() : missing / mPerSecond;
        return Duration.ofNanos((long) (Math.max(0, seconds) * NANOS_PER_SECOND));
    }

    private double bound() {
        return mPerSecond * mBurst.toNanos() / NANOS_PER_SECOND;
    }
}
