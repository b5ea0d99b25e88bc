package org.whinhead.serving.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Tokens of a customer that this daemon was issued and has no request for: an answer came too late,
 * or a request did not run. They are spent by the next requests, or lapse.
 */
final class TokenPool {

    private final Deque<Batch> mBatches = new ArrayDeque<>();
    private long mTokens;

    void add(final long tokens, final ClockReading issuedAfter) {
        mBatches.addLast(new Batch(tokens, issuedAfter));
        mTokens += tokens;
    }

    /** Takes tokens if there are enough that may still be spent. */
    Optional<ClockReading> take(final long tokens, final ClockReading now) {
        dropExpired(now);
        if (mTokens < tokens) {
            return Optional.empty();
        }
        mTokens -= tokens;
        ClockReading oldest = now;
        long missing = tokens;
        while (missing > 0) {
            final Batch lot = mBatches.removeFirst();
            oldest =
                    now.elapsedSince(lot.mIssuedAfter).compareTo(now.elapsedSince(oldest)) > 0
                            ? lot.mIssuedAfter
                            : oldest;
            if (lot.mTokens > missing) {
                mBatches.addFirst(new Batch(lot.mTokens - missing, lot.mIssuedAfter));
            }
            missing -= Math.min(lot.mTokens, missing);
        }
        return Optional.of(oldest);
    }

    private void dropExpired(final ClockReading now) {
        mBatches.removeIf(
                lot -> {
                    final boolean lapsed = isExpired(lot.mIssuedAfter, now);
                    mTokens -= lapsed ? lot.mTokens : 0;
                    return lapsed;
                });
    }

    /** Tells whether tokens that were issued no earlier than this may no longer be spent. */
    static boolean isExpired(final ClockReading issuedAfter, final ClockReading now) {
        final Duration age = now.elapsedSince(issuedAfter);
        return age.compareTo(ShareBucket.TOKEN_VALIDITY) > 0;
    }

    private static final class Batch {
        private final long mTokens;
        private final ClockReading mIssuedAfter;

        private Batch(final long tokens, final ClockReading issuedAfter) {
            mTokens = tokens;
            mIssuedAfter = issuedAfter;
        }
    }
}
