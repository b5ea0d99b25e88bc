package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits retries to a share of first dispatches with a token bucket.
 *
 * <p>Guards against a retry storm: when many endpoints fail, every request would be sent several
 * times and overload the rest of the fleet; dispatches would rise while completions fall. The limit
 * holds for the whole fleet because each daemon limits retries to a share of its own traffic. A
 * slow constant refill permits retries on a daemon with hardly any traffic.
 */
final class RetryBudget {

    private static final double REFILL_PER_SECOND = 1.0;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final double mShare;
    private final double mBurst;
    private double mAvailable;
    private Instant mRefilledAt = Instant.MIN;

    RetryBudget(final double share, final int burst) {
        mShare = share;
        mBurst = burst;
        mAvailable = burst;
    }

    /** Adds the share of a first dispatch to the bucket. */
    void recordFirstDispatch() {
        mAvailable = Math.min(mBurst, mAvailable + mShare);
    }

    /** Returns whether a retry may be sent now. */
    boolean canRetry(final Instant now) {
        refill(now);
        return mAvailable >= 1;
    }

    /** Takes one retry from the bucket. */
    void recordRetry() {
        mAvailable--;
    }

    private void refill(final Instant now) {
        if (mRefilledAt.equals(Instant.MIN)) {
            mRefilledAt = now;
        }
        if (now.isAfter(mRefilledAt)) {
            final double seconds = Duration.between(mRefilledAt, now).toNanos() / NANOS_PER_SECOND;
            mAvailable = Math.min(mBurst, mAvailable + seconds * REFILL_PER_SECOND);
            mRefilledAt = now;
        }
    }
}
