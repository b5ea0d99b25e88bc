package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;

/**
 * Caps retries at a share of first dispatches.
 *
 * <p>Guards against a retry storm: when many endpoints fail, every request would be sent several
 * times and the rest of the fleet would go down too. It shows as dispatches that rise while
 * completions fall. The cap holds for the whole fleet because each daemon keeps to the share of its
 * own traffic. A slow trickle lets a daemon with hardly any traffic retry at all.
 */
final class RetryBudget {

    private static final double TRICKLE_PER_SECOND = 1.0;
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final double mShare;
    private final double mBurst;
    private double mSaved;
    private Instant mFilledAt = Instant.MIN;

    RetryBudget(final double share, final int burst) {
        mShare = share;
        mBurst = burst;
        mSaved = burst;
    }

    /** Counts a first dispatch. */
    void recordFirstDispatch() {
        mSaved = Math.min(mBurst, mSaved + mShare);
    }

    /** Tells whether a retry may be sent now. */
    boolean canRetry(final Instant now) {
        refill(now);
        return mSaved >= 1;
    }

    /** Counts a retry that was sent. */
    void recordRetry() {
        mSaved--;
    }

    private void refill(final Instant now) {
        if (mFilledAt.equals(Instant.MIN)) {
            mFilledAt = now;
        }
        if (now.isAfter(mFilledAt)) {
            final double seconds = Duration.between(mFilledAt, now).toNanos() / NANOS_PER_SECOND;
            mSaved = Math.min(mBurst, mSaved + seconds * TRICKLE_PER_SECOND);
            mFilledAt = now;
        }
    }
}
