package org.whinhead.admission.budget;

import java.time.Duration;
import java.time.Instant;

/** A token bucket: refills at a rate, up to a capacity of {@code rate * burst}. */
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

    /** Refills the bucket at the old rate and sets a new one. */
    void setRate(final double tokensPerSecond, final Instant now) {
        refill(now);
        mTokensPerSecond = tokensPerSecond;
        mTokens = Math.min(mTokens, capacity());
    }

    /** Empties the bucket and refills it from a moment on. */
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

    /** Returns whether the bucket is full; false while the rate is 0. */
    boolean isFull() {
        return mTokensPerSecond > 0 && mTokens >= capacity();
    }

    void take(final long tokens) {
        mTokens -= tokens;
    }

    void giveBack(final long tokens) {
        mTokens = Math.min(capacity(), mTokens + tokens);
    }

    /** Fills the bucket to its capacity. */
    void fill() {
        mTokens = capacity();
    }

    /** Returns the time until the bucket has enough tokens or is full. */
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
