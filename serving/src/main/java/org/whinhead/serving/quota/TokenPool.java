package org.whinhead.serving.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Issued tokens of a customer that are not assigned to a request, because a response was late or a
 * request did not run. The next requests spend them unless they expire first.
 */
final class TokenPool {

    private final Deque<Batch> mBatches = new ArrayDeque<>();
    private long mTokens;

    void add(final long tokens, final ClockReading issuedAfter) {
        mBatches.addLast(new Batch(tokens, issuedAfter));
        mTokens += tokens;
    }

    /** Takes tokens if enough are valid; returns a time before which none of them was issued. */
    Optional<ClockReading> take(final long tokens, final ClockReading now) {
        dropExpired(now);
        if (mTokens < tokens) {
            return Optional.empty();
        }
        mTokens -= tokens;
        ClockReading oldest = now;
        long missing = tokens;
        while (missing > 0) {
            final Batch batch = mBatches.removeFirst();
            oldest =
                    now.elapsedSince(batch.mIssuedAfter).compareTo(now.elapsedSince(oldest)) > 0
                            ? batch.mIssuedAfter
                            : oldest;
            if (batch.mTokens > missing) {
                mBatches.addFirst(new Batch(batch.mTokens - missing, batch.mIssuedAfter));
            }
            missing -= Math.min(batch.mTokens, missing);
        }
        return Optional.of(oldest);
    }

    private void dropExpired(final ClockReading now) {
        mBatches.removeIf(
                batch -> {
                    final boolean expired = isExpired(batch.mIssuedAfter, now);
                    mTokens -= expired ? batch.mTokens : 0;
                    return expired;
                });
    }

    /** Returns whether tokens that were issued no earlier than a time have expired. */
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
