package org.whinhead.admission.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** One daemon's unspent portions of one team's budget, and the requests for the next portion. */
final class TeamPortions {

    private static final long NO_REQUEST = -1;

    /** The minimum size of a portion request, as a multiple of the largest unmet request. */
    private static final long INITIAL_REQUESTS = 4;

    private static final double NEW_SAMPLE_SHARE = 0.3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final BudgetSettings mSettings;
    private final Deque<UnspentTokens> mUnspent = new ArrayDeque<>();
    private final TokenBucket mFallback;
    private long mLastNumber;
    private long mPendingNumber = NO_REQUEST;
    private long mPendingLeast;
    private long mPendingWanted;
    private Instant mFirstSent = Instant.MIN;
    private Instant mLastSent = Instant.MIN;
    private Instant mNoRequestBefore = Instant.MIN;
    private boolean mHolderUnavailable;
    private long mLargestUnmet;
    private double mDemandPerSecond;
    private double mReservedSince;
    private Instant mDemandSince;

    TeamPortions(final BudgetSettings settings, final Instant now) {
        mSettings = settings;
        mFallback = new TokenBucket(settings.burst(), now);
        mDemandSince = now;
    }

    void setEvenRate(final double tokensPerSecond, final Instant now) {
        mFallback.setRate(tokensPerSecond * mSettings.fallbackShare(), now);
    }

    /** Takes tokens; returns the time until which they can be returned, or null if too few. */
    Instant take(final long tokens, final Instant now) {
        dropExpired(now);
        final Instant expires = takeUnspent(tokens);
        if (expires != null) {
            mReservedSince += tokens;
            return expires;
        }
        mLargestUnmet = Math.max(mLargestUnmet, tokens);
        if (mHolderUnavailable) {
            mFallback.refill(now);
            if (mFallback.available() >= tokens) {
                mFallback.take(tokens);
                return now;
            }
        }
        return null;
    }

    void giveBack(final long tokens, final Instant expires, final Instant now) {
        if (tokens > 0 && now.isBefore(expires)) {
            mUnspent.addFirst(new UnspentTokens(tokens, expires));
        }
    }

    /** Returns whether a portion request is pending or will be sent soon. */
    boolean canWait(final Instant now) {
        return !mHolderUnavailable && !now.isBefore(mNoRequestBefore);
    }

    /** Returns the request to send or resend now, or null. */
    PendingRequest nextRequest(final Instant now) {
        dropExpired(now);
        updateDemand(now);
        if (mPendingNumber == NO_REQUEST) {
            return now.isBefore(mNoRequestBefore) ? null : newRequest(now);
        }
        detectUnavailableHolder(now);
        if (now.isBefore(mLastSent.plus(mSettings.resendInterval()))) {
            return null;
        }
        mLastSent = now;
        return new PendingRequest(mPendingNumber, mPendingLeast, mPendingWanted);
    }

    /**
     * Adds a portion.
     *
     * <p>Only an unexpired answer to the pending request counts, so duplicated and outdated answers
     * are ignored.
     */
    void portionReceived(final Portion portion, final Instant now) {
        if (portion.number() != mPendingNumber) {
            return;
        }
        mPendingNumber = NO_REQUEST;
        mHolderUnavailable = false;
        mLargestUnmet = 0;
        if (portion.tokens() == 0) {
            mNoRequestBefore = now.plus(mSettings.resendInterval());
        } else if (now.isBefore(portion.expires())) {
            mUnspent.addLast(new UnspentTokens(portion.tokens(), portion.expires()));
        }
    }

    private PendingRequest newRequest(final Instant now) {
        final long ahead = (long) (mDemandPerSecond * seconds(mSettings.portionLife()) / 2);
        if (mLargestUnmet == 0 && (ahead == 0 || unspentTokens() > ahead)) {
            return null;
        }
        mLastNumber++;
        mPendingNumber = mLastNumber;
        mPendingLeast = mLargestUnmet;
        mPendingWanted = Math.max(INITIAL_REQUESTS * mLargestUnmet, 2 * ahead - unspentTokens());
        mFirstSent = now;
        mLastSent = now;
        return new PendingRequest(mPendingNumber, mPendingLeast, mPendingWanted);
    }

    private void detectUnavailableHolder(final Instant now) {
        if (!mHolderUnavailable && !now.isBefore(mFirstSent.plus(mSettings.holderTimeout()))) {
            mHolderUnavailable = true;
            mFallback.restart(now);
        }
    }

    private void updateDemand(final Instant now) {
        final Duration elapsed = Duration.between(mDemandSince, now);
        if (elapsed.compareTo(mSettings.resendInterval()) >= 0) {
            mDemandPerSecond +=
                    NEW_SAMPLE_SHARE * (mReservedSince / seconds(elapsed) - mDemandPerSecond);
            mReservedSince = 0;
            mDemandSince = now;
        }
    }

    private Instant takeUnspent(final long tokens) {
        if (unspentTokens() < tokens) {
            return null;
        }
        final Instant expires = mUnspent.getFirst().expires();
        long missing = tokens;
        while (missing > 0) {
            final UnspentTokens portion = mUnspent.removeFirst();
            if (portion.tokens() > missing) {
                mUnspent.addFirst(new UnspentTokens(portion.tokens() - missing, portion.expires()));
            }
            missing -= Math.min(missing, portion.tokens());
        }
        return expires;
    }

    private long unspentTokens() {
        long sum = 0;
        for (final UnspentTokens portion : mUnspent) {
            sum += portion.tokens();
        }
        return sum;
    }

    private void dropExpired(final Instant now) {
        mUnspent.removeIf(portion -> !now.isBefore(portion.expires()));
    }

    private static double seconds(final Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }

    /** The unspent tokens of one portion. */
    private record UnspentTokens(long tokens, Instant expires) {}

    /** The content of a portion request. */
    record PendingRequest(long number, long least, long wanted) {}
}
