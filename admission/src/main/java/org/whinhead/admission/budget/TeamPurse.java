package org.whinhead.admission.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** What one daemon holds of one team's budget, and what it asks for next. */
final class TeamPurse {

    private static final long NONE = -1;

    /** Requests like the one that fell short that are asked for at once. */
    private static final long START_REQUESTS = 4;

    private static final double DEMAND_SHARE = 0.3;
    private static final double NANOS_PER_SECOND = 1e9;

    private final BudgetSettings mSettings;
    private final Deque<Slice> mSlices = new ArrayDeque<>();
    private final Income mEvenShare;
    private long mNumber;
    private long mPending = NONE;
    private long mPendingLeast;
    private long mPendingWanted;
    private Instant mAskedFirst = Instant.MIN;
    private Instant mAskedLast = Instant.MIN;
    private Instant mQuietUntil = Instant.MIN;
    private boolean mHolderAway;
    private long mShortBy;
    private double mDemand;
    private double mReservedSince;
    private Instant mDemandSince;

    TeamPurse(final BudgetSettings settings, final Instant now) {
        mSettings = settings;
        mEvenShare = new Income(settings.burst(), now);
        mDemandSince = now;
    }

    void evenRate(final double tokensPerSecond, final Instant now) {
        mEvenShare.rate(tokensPerSecond * mSettings.evenShare(), now);
    }

    /** Takes tokens; returns when they lapse if given back, or null if there are not enough. */
    Instant take(final long tokens, final Instant now) {
        dropExpired(now);
        final Instant expires = takeSlices(tokens);
        if (expires != null) {
            mReservedSince += tokens;
            return expires;
        }
        mShortBy = Math.max(mShortBy, tokens);
        if (mHolderAway) {
            mEvenShare.accrue(now);
            if (mEvenShare.available() >= tokens) {
                mEvenShare.take(tokens);
                return now;
            }
        }
        return null;
    }

    void giveBack(final long tokens, final Instant expires, final Instant now) {
        if (tokens > 0 && now.isBefore(expires)) {
            mSlices.addFirst(new Slice(tokens, expires));
        }
    }

    /** Tells whether waiting can help: an answer is due, or a question is about to be asked. */
    boolean mayWait(final Instant now) {
        return !mHolderAway && !now.isBefore(mQuietUntil);
    }

    /** Returns the question to send now, new or again; null if none. */
    Question question(final Instant now) {
        dropExpired(now);
        learnDemand(now);
        if (mPending == NONE) {
            return now.isBefore(mQuietUntil) ? null : newQuestion(now);
        }
        noticeHolderAway(now);
        if (now.isBefore(mAskedLast.plus(mSettings.answerTimeout()))) {
            return null;
        }
        mAskedLast = now;
        return new Question(mPending, mPendingLeast, mPendingWanted);
    }

    /**
     * Takes a portion.
     *
     * <p>Guards against a doubled answer and against one that was overtaken: only the answer to the
     * pending question counts, and only until it expires.
     */
    void arrived(final Portion portion, final Instant now) {
        if (portion.number() != mPending) {
            return;
        }
        mPending = NONE;
        mHolderAway = false;
        mShortBy = 0;
        if (portion.tokens() == 0) {
            mQuietUntil = now.plus(mSettings.answerTimeout());
        } else if (now.isBefore(portion.expires())) {
            mSlices.addLast(new Slice(portion.tokens(), portion.expires()));
        }
    }

    private Question newQuestion(final Instant now) {
        final long ahead = (long) (mDemand * seconds(mSettings.portionLife()) / 2);
        if (mShortBy == 0 && (ahead == 0 || left() > ahead)) {
            return null;
        }
        mNumber++;
        mPending = mNumber;
        mPendingLeast = mShortBy;
        mPendingWanted = Math.max(START_REQUESTS * mShortBy, 2 * ahead - left());
        mAskedFirst = now;
        mAskedLast = now;
        return new Question(mPending, mPendingLeast, mPendingWanted);
    }

    private void noticeHolderAway(final Instant now) {
        if (!mHolderAway && !now.isBefore(mAskedFirst.plus(mSettings.holderTimeout()))) {
            mHolderAway = true;
            mEvenShare.restart(now);
        }
    }

    private void learnDemand(final Instant now) {
        final Duration since = Duration.between(mDemandSince, now);
        if (since.compareTo(mSettings.answerTimeout()) >= 0) {
            mDemand += DEMAND_SHARE * (mReservedSince / seconds(since) - mDemand);
            mReservedSince = 0;
            mDemandSince = now;
        }
    }

    private Instant takeSlices(final long tokens) {
        if (left() < tokens) {
            return null;
        }
        final Instant expires = mSlices.getFirst().expires();
        long open = tokens;
        while (open > 0) {
            final Slice slice = mSlices.removeFirst();
            if (slice.tokens() > open) {
                mSlices.addFirst(new Slice(slice.tokens() - open, slice.expires()));
            }
            open -= Math.min(open, slice.tokens());
        }
        return expires;
    }

    private long left() {
        long left = 0;
        for (final Slice slice : mSlices) {
            left += slice.tokens();
        }
        return left;
    }

    private void dropExpired(final Instant now) {
        mSlices.removeIf(slice -> !now.isBefore(slice.expires()));
    }

    private static double seconds(final Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }

    /** Tokens of one portion. */
    private record Slice(long tokens, Instant expires) {}

    /** What to ask the holder. */
    record Question(long number, long least, long wanted) {}
}
