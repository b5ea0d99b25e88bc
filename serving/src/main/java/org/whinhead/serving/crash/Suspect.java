package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Set;

/** The evidence against one feature. */
final class Suspect {

    /** Crashes within this time are taken for one event if no run began after the first. */
    private static final Duration ONE_EVENT = Duration.ofMillis(500);

    /**
     * The time for which an attempt keeps others waiting: most streams begin earlier, and one that
     * hangs must not hold back the rest.
     */
    private static final Duration ATTEMPT_TIME = Duration.ofSeconds(1);

    /** Of what crashes endpoints nearly always, one request or the other is answered too. */
    private static final int MIN_ANSWERS_APART = 2;

    /** The crashes of which it is known what else was lost. */
    private static final int MAX_CRASHES = 8;

    private final Instant mFirstAt;
    private Instant mRaisedAt;
    private Instant mKeptUntil;
    private Instant mAttemptUntil = Instant.MIN;
    private int mLevel;
    private boolean mBegun;
    private int mAnswersApart;
    private final Set<Long> mCrashes = new LinkedHashSet<>();
    private Set<Integer> mCompanions = Set.of();

    Suspect(final Instant firstAt) {
        mFirstAt = firstAt;
        mRaisedAt = firstAt;
        mKeptUntil = firstAt;
    }

    /** Returns the evidence that other daemons have had for a while. */
    static Suspect learnedLater(final Instant now) {
        return new Suspect(now.minus(ONE_EVENT));
    }

    int level() {
        return mLevel;
    }

    Instant raisedAt() {
        return mRaisedAt;
    }

    Instant keptUntil() {
        return mKeptUntil;
    }

    /** Returns the level after another crash that this daemon has found. */
    int levelAfterCrash(final long crash, final int knownLevel, final Instant now) {
        if (mLevel == 0) {
            return 1;
        }
        if (mCrashes.contains(crash)) {
            return mLevel;
        }
        final boolean isLater = now.isAfter(mRaisedAt.plus(ONE_EVENT));
        final int level = Math.max(mLevel + (isLater ? 1 : 0), knownLevel + 1);
        // Endpoints that are lost together go one after the other, and a request that is sent on
        // meets several of them within one event.
        return isOneEvent(now) ? Math.min(level, CrashSuspects.GUARDED_LEVEL) : level;
    }

    private boolean isOneEvent(final Instant now) {
        return now.isBefore(mFirstAt.plus(ONE_EVENT));
    }

    /** Records a crash under a request with the feature. */
    void recordCrash(final long crash) {
        mCrashes.add(crash);
        if (mCrashes.size() > MAX_CRASHES) {
            mCrashes.remove(mCrashes.iterator().next());
        }
        mAttemptUntil = Instant.MIN;
        mBegun = false;
        mAnswersApart = 0;
    }

    /** Raises the level unless it is as high already; returns whether it was raised. */
    boolean raise(final int level, final Instant now) {
        if (level <= mLevel) {
            return false;
        }
        mLevel = level;
        mRaisedAt = now;
        return true;
    }

    /** Lowers the level to that after an answer. */
    void lower(final int level) {
        mLevel = Math.min(mLevel, level);
        mAttemptUntil = Instant.MIN;
    }

    void keepUntil(final Instant time) {
        if (time.isAfter(mKeptUntil)) {
            mKeptUntil = time;
        }
    }

    /** Returns the last crashes under requests with the feature, see {@link CrashEvents}. */
    Set<Long> crashes() {
        return mCrashes;
    }

    /** Returns what other daemons have told of features that came with this one. */
    Set<Integer> companions() {
        return mCompanions;
    }

    void setCompanions(final Set<Integer> companions) {
        mCompanions = Set.copyOf(companions);
    }

    /** Records that an attempt is in progress, during which others wait. */
    void startAttempt(final boolean isTrial, final Instant now) {
        mAttemptUntil = now.plus(ATTEMPT_TIME);
        if (isTrial) {
            // A trial that ends without a result must not be followed by another one at once.
            mRaisedAt = now;
        }
    }

    void endAttempt() {
        mAttemptUntil = Instant.MIN;
    }

    /** Records that an answer has begun; returns whether that is news and ends the guard. */
    boolean recordBegun() {
        if (mBegun || mLevel >= CrashSuspects.BLOCKED_LEVEL) {
            return false;
        }
        mBegun = true;
        mAttemptUntil = Instant.MIN;
        return true;
    }

    /** Records the answer to a request with the feature that lacks what explains the crashes. */
    void recordAnswerApart() {
        mAnswersApart++;
        mAttemptUntil = Instant.MIN;
    }

    /** Returns whether requests with the feature are sound unless they have another one, too. */
    boolean isSoundApart() {
        return mAnswersApart >= MIN_ANSWERS_APART;
    }

    /**
     * Returns how long a request must wait that may run one at a time.
     *
     * @param history how often requests with the feature were answered lately
     * @param now the current time
     */
    Duration guardDelay(final AnswerHistory history, final Instant now) {
        final boolean isFree =
                mBegun || isSoundApart() || (history.outweighsOneCrash() && mLevel == 1);
        if (isFree && mLevel < CrashSuspects.BLOCKED_LEVEL || isSoundApart()) {
            return Duration.ZERO;
        }
        if (mLevel >= CrashSuspects.GUARDED_LEVEL && isOneEvent(now)) {
            return Duration.between(now, mFirstAt.plus(ONE_EVENT));
        }
        return now.isBefore(mAttemptUntil) ? CrashSuspects.GUARD_RETRY_AFTER : Duration.ZERO;
    }

    /** Returns whether a request with the feature runs one at a time. */
    boolean isGuarded(final AnswerHistory history) {
        return !isSoundApart()
                && (mLevel >= CrashSuspects.BLOCKED_LEVEL
                        || !mBegun && (mLevel > 1 || !history.outweighsOneCrash()));
    }
}
