package org.whinhead.serving.rollout;

import java.time.Duration;

/** Compares a route's answers of the new version with those of the old one. */
final class RouteComparison {

    /**
     * Buckets above the old version's median from which an answer is too slow: 2.3 to 3.4 times as
     * long. Of answers that vary by half, one in thirty takes that long anyway.
     */
    private static final int SLOW_BUCKETS = 2;

    /** Answers that are faster than this are never too slow; a busy daemon alone delays as much. */
    private static final Duration LEAST_SLOW = Duration.ofMillis(60);

    /** Answers of the old version without which nothing is compared with them. */
    private static final double LEAST_ANSWERS = 10;

    /** Answers that are added to the old version's, so that its first few don't count for all. */
    private static final double PRIOR_ANSWERS = 10;

    /** What those hold of bad ones. */
    private static final double PRIOR_BAD = 0.5;

    /**
     * What a call keeps of the old version's recent answers: at five calls a second half a second.
     */
    private static final double RECENT_KEPT = 0.75;

    private final BadAnswerTest mTest = new BadAnswerTest();
    private Sums mJudged = new Sums();
    private Sums mJudgedOld = new Sums();
    private long mOldAnswers;
    private long mOldFailed;
    private long mOldSlow;
    private long mAllOldAnswers;
    private long mAllOldBad;
    private double mRecentAnswers;
    private double mRecentBad;
    private long mAnswers;
    private long mFailed;
    private long mSlow;

    /**
     * Takes all answers so far.
     *
     * <p>What either version answers while the old one fails says nothing of the new one, and is
     * left out.
     *
     * @param old the old version's sums
     * @param trial the new version's sums
     * @param overall also gets the answers that are new since the last call
     */
    void compare(final Sums old, final Sums trial, final BadAnswerTest overall) {
        final int slowBucket = slowBucket(old);
        final Sums freshOld = old.since(mJudgedOld);
        mJudgedOld = old.copy();
        mRecentAnswers = RECENT_KEPT * mRecentAnswers + freshOld.answers();
        mRecentBad = RECENT_KEPT * mRecentBad + freshOld.bad(slowBucket);
        mAllOldAnswers += freshOld.answers();
        mAllOldBad += freshOld.bad(slowBucket);
        if (isOldFailing()) {
            mJudged = trial.copy();
            return;
        }
        mOldAnswers += freshOld.answers();
        mOldFailed += freshOld.mFailed;
        mOldSlow += freshOld.mTimes.above(slowBucket);
        if (mOldAnswers >= LEAST_ANSWERS) {
            judge(trial.since(mJudged), slowBucket, overall);
            mJudged = trial.copy();
        }
    }

    private void judge(final Sums fresh, final int slowBucket, final BadAnswerTest overall) {
        final long bad = fresh.bad(slowBucket);
        final long good = fresh.answers() - bad;
        final double usual = isWorseRecently() ? recentShare() : usual();
        mTest.answers(good, bad, usual);
        overall.answers(good, bad, usual);
        mAnswers += fresh.answers();
        mFailed += fresh.mFailed;
        mSlow += fresh.mTimes.above(slowBucket);
    }

    private static double share(final double bad, final double answers) {
        return (bad + PRIOR_BAD) / (answers + PRIOR_ANSWERS);
    }

    /** Returns the share of the old version's answers that are bad. */
    double usual() {
        return share(mOldFailed + mOldSlow, mOldAnswers);
    }

    private double recentShare() {
        return share(mRecentBad, mRecentAnswers);
    }

    private boolean isWorseRecently() {
        return leastShare(mRecentBad, mRecentAnswers) > usual();
    }

    /** Returns a share less its standard error: what it is at least, but for chance. */
    private static double leastShare(final double bad, final double answers) {
        final double share = share(bad, answers);
        return share - Math.sqrt(share * (1 - share) / (answers + PRIOR_ANSWERS));
    }

    /** Tells whether the old version fails so often now that nothing can be told of the new one. */
    boolean isOldFailing() {
        return leastShare(mRecentBad, mRecentAnswers) > FaultLikelihood.MOST_USUAL
                || leastShare(mAllOldBad, mAllOldAnswers) > FaultLikelihood.MOST_USUAL;
    }

    private static int slowBucket(final Sums old) {
        int bucket = old.mTimes.quantile(0.5) + SLOW_BUCKETS;
        while (bucket < LatencyCounts.BUCKETS
                && LatencyCounts.upperEnd(bucket).compareTo(LEAST_SLOW) < 0) {
            bucket++;
        }
        return bucket;
    }

    boolean isBad() {
        return mTest.isBad();
    }

    /** Returns what the new version has shown of failures. */
    AnswerSample failures() {
        return new AnswerSample(
                (int) mAnswers, (int) mFailed, share(mOldFailed, mOldAnswers), mOldAnswers);
    }

    /** Returns what the new version has shown of answers that are far too slow. */
    AnswerSample delays() {
        final long answered = mOldAnswers - mOldFailed;
        return new AnswerSample(
                (int) (mAnswers - mFailed), (int) mSlow, share(mOldSlow, answered), answered);
    }

    /** Returns how much speaks for a fault that hits a part, as a log likelihood ratio. */
    double logRatio(final double hitPart) {
        return FaultLikelihood.logRatio(mAnswers, bad(), usual(), hitPart);
    }

    /** Counts the old version's answers that the new one's are compared with. */
    long oldAnswers() {
        return mOldAnswers;
    }

    long bad() {
        return mFailed + mSlow;
    }

    long answers() {
        return mAnswers;
    }

    /** What all daemons together have seen of a route at one version. */
    static final class Sums {
        private final LatencyCounts mTimes = new LatencyCounts();
        private long mFailed;

        void add(final RouteOutcomes outcomes) {
            mTimes.addAll(new LatencyCounts(outcomes.times()));
            mFailed += outcomes.failed();
        }

        private long answers() {
            return mFailed + mTimes.total();
        }

        private long bad(final int slowBucket) {
            return mFailed + mTimes.above(slowBucket);
        }

        private Sums copy() {
            return since(new Sums());
        }

        private Sums since(final Sums earlier) {
            final Sums since = new Sums();
            since.mTimes.addAll(mTimes);
            since.mTimes.removeAll(earlier.mTimes);
            since.mFailed = mFailed - earlier.mFailed;
            return since;
        }
    }
}
