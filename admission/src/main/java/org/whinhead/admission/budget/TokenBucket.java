package org.whinhead.admission.budget;

import java.time.Duration;
import java.time.Instant;

/** Tokens that come in at a rate, saved up to a bound. */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Duration mBurst;
    private double mTokensPerSecond;
    private double mTokens;
    private Instant mRefilledUpTo;

    TokenBucket(final Duration burst, final Instant from) {
        mBurst = burst;
        mRefilledUpTo = from;
    }

    /** Sets the rate from a moment on. */
    void setRate(final double perSecond, final Instant now) {
        refill(now);
        mTokensPerSecond = perSecond;
        mTokens = Math.min(mTokens, capacity());
    }

    /** Forgets what was saved and starts to accrue at a moment. */
    void restart(final Instant from) {
        mTokens = 0;
        mRefilledUpTo = from;
    }

    void refill(final Instant now) {
        if (now.isAfter(mRefilledUpTo)) {
            final double seconds =
                    Duration.between(mRefilledUpTo, now).toNanos() / NANOS_PER_SECOND;
            mTokens = Math.min(capacity(), mTokens + seconds * mTokensPerSecond);
            mRefilledUpTo = now;
        }
    }

    long available() {
        return (long) mTokens;
    }

    /** Tells whether no more can be saved up. */
    boolean isFull() {
        return mTokensPerSecond > 0 && mTokens >= capacity();
    }

    void take(final long tokens) {
        mTokens -= tokens;
    }

    void giveBack(final long tokens) {
        mTokens = Math.min(capacity(), mTokens + tokens);
    }

    /** Saves up to the bound at once. */
    void fill() {
        mTokens = capacity();
    }

    /** Returns how long it takes until there are enough tokens, or until no more are saved up. */
    Duration timeUntil(final long tokens) {
        final double missing = Math.min(tokens, capacity()) - mTokens;
        final double seconds =
                mTokensPerSecond == 0 ? mBurst.toSeconds() : missing / mTokensPerSecond;
        return Duration.ofNanos((long) (Math.max(0, seconds) * NANOS_PER_SECOND));
    }

    private double capacity() {
        return mTokensPerSecond * mBurst.toNanos() / NANOS_PER_SECOND;
    }
}
