package org.whinhead.serving.rollout;

import java.time.Duration;

/** Compares a route's answers of the new version with those of the old one. */
final class RouteComparison {

    /**
     * Buckets above the old version's median from which an answer is too slow: 2.3 to 3.4 times as
     * long. Of answers that vary by half, one in thirty takes that long anyway.
     */
    private static final int SLOW_BUCKET_DISTANCE = 2;

    /** Answers that are faster than this are never too slow; a busy daemon alone delays as much. */
    private static final Duration MIN_SLOW_LATENCY = Duration.ofMillis(60);

    /** Answers of the old version without which nothing is compared with them. */
    private static final double MIN_BASELINE_ANSWERS = 10;

    /** Answers that are added to the old version's, so that its first few don't count for all. */
    private static final double PRIOR_ANSWERS = 10;

    /** What those hold of bad ones. */
    private static final double PRIOR_BAD = 0.5;

    /**
     * What a call keeps of the old version's recent answers: at five calls a second half a second.
     */
    private static final double RECENT_DECAY = 0.75;

    private final CusumDetector mDetector = new CusumDetector();
    private Totals mProcessedCanary = new Totals();
    private Totals mProcessedOld = new Totals();
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
    void compare(final Totals old, final Totals trial, final CusumDetector overall) {
        final int slowBucket = slowBucket(old);
        final Totals freshOld = old.since(mProcessedOld);
        mProcessedOld = old.copy();
        mRecentAnswers = RECENT_DECAY * mRecentAnswers + freshOld.answers();
        mRecentBad = RECENT_DECAY * mRecentBad + freshOld.bad(slowBucket);
        mAllOldAnswers += freshOld.answers();
        mAllOldBad += freshOld.bad(slowBucket);
        if (isOldFailing()) {
            mProcessedCanary = trial.copy();
            return;
        }
        mOldAnswers += freshOld.answers();
        mOldFailed += freshOld.mFailed;
        mOldSlow += freshOld.mTimes.countAbove(slowBucket);
        if (mOldAnswers >= MIN_BASELINE_ANSWERS) {
            evaluate(trial.since(mProcessedCanary), slowBucket, overall);
            mProcessedCanary = trial.copy();
        }
    }

    private void evaluate(final Totals fresh, final int slowBucket, final CusumDetector overall) {
        final long bad = fresh.bad(slowBucket);
        final long good = fresh.answers() - bad;
        final double usual = isWorseRecently() ? recentShare() : baselineShare();
        mDetector.addAnswers(good, bad, usual);
        overall.addAnswers(good, bad, usual);
        mAnswers += fresh.answers();
        mFailed += fresh.mFailed;
        mSlow += fresh.mTimes.countAbove(slowBucket);
    }

    private static double share(final double bad, final double answers) {
        return (bad + PRIOR_BAD) / (answers + PRIOR_ANSWERS);
    }

    /** Returns the share of the old version's answers that are bad. */
    double baselineShare() {
        return share(mOldFailed + mOldSlow, mOldAnswers);
    }

    private double recentShare() {
        return share(mRecentBad, mRecentAnswers);
    }

    private boolean isWorseRecently() {
        return lowerBound(mRecentBad, mRecentAnswers) > baselineShare();
    }

    /** Returns a share less its standard error: what it is at least, but for chance. */
    private static double lowerBound(final double bad, final double answers) {
        final double share = share(bad, answers);
        return share - Math.sqrt(share * (1 - share) / (answers + PRIOR_ANSWERS));
    }

    /** Tells whether the old version fails so often now that nothing can be told of the new one. */
    boolean isOldFailing() {
        return lowerBound(mRecentBad, mRecentAnswers) > FaultLikelihood.MAX_BASELINE_SHARE
                || lowerBound(mAllOldBad, mAllOldAnswers) > FaultLikelihood.MAX_BASELINE_SHARE;
    }

    private static int slowBucket(final Totals old) {
        int bucket = old.mTimes.quantileBucket(0.5) + SLOW_BUCKET_DISTANCE;
        while (bucket < LatencyHistogram.BUCKET_COUNT
                && LatencyHistogram.upperBound(bucket).compareTo(MIN_SLOW_LATENCY) < 0) {
            bucket++;
        }
        return bucket;
    }

    boolean isBad() {
        return mDetector.isBad();
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
        return FaultLikelihood.logRatio(mAnswers, bad(), baselineShare(), hitPart);
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
    static final class Totals {
        private final LatencyHistogram mTimes = new LatencyHistogram();
        private long mFailed;

        void add(final RouteOutcomes outcomes) {
            mTimes.addAll(new LatencyHistogram(outcomes.times()));
            mFailed += outcomes.failed();
        }

        private long answers() {
            return mFailed + mTimes.total();
        }

        private long bad(final int slowBucket) {
            return mFailed + mTimes.countAbove(slowBucket);
        }

        private Totals copy() {
            return since(new Totals());
        }

        private Totals since(final Totals earlier) {
            final Totals since = new Totals();
            since.mTimes.addAll(mTimes);
            since.mTimes.subtractAll(earlier.mTimes);
            since.mFailed = mFailed - earlier.mFailed;
            return since;
        }
    }
}
