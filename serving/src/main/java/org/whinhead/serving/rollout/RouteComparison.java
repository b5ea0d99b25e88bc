package org.whinhead.serving.rollout;

import java.time.Duration;

/** Compares the new version's answers on a route with those of the old version. */
final class RouteComparison {

    /**
     * An answer is too slow if it lies more than so many buckets above the old version's median,
     * that is 2.3 to 3.4 times as long. Of answers that vary by half, one in thirty takes that long
     * anyway.
     */
    private static final int SLOW_BUCKET_DISTANCE = 2;

    /** Answers faster than this are never too slow; a busy daemon alone delays as much. */
    private static final Duration MIN_SLOW_LATENCY = Duration.ofMillis(60);

    /** The number of old answers that a comparison needs. */
    private static final double MIN_BASELINE_ANSWERS = 10;

    /** Assumed old answers, which reduce the weight of the first few real ones. */
    private static final double PRIOR_ANSWERS = 10;

    /** The number of bad ones among the assumed answers. */
    private static final double PRIOR_BAD = 0.5;

    /** The part of recent old answers that a call keeps: half a second at five calls a second. */
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
     * Compares all answers so far.
     *
     * <p>While the old version fails, the answers of both say nothing about the new one and are
     * ignored.
     *
     * @param old the totals of the old version
     * @param canary the totals of the new version
     * @param overall the detector of all routes, which also receives the answers since the last
     *     call
     */
    void compare(final Totals old, final Totals canary, final CusumDetector overall) {
        final int slowBucket = slowBucket(old);
        final Totals newOld = old.since(mProcessedOld);
        mProcessedOld = old.copy();
        mRecentAnswers = RECENT_DECAY * mRecentAnswers + newOld.answers();
        mRecentBad = RECENT_DECAY * mRecentBad + newOld.bad(slowBucket);
        mAllOldAnswers += newOld.answers();
        mAllOldBad += newOld.bad(slowBucket);
        if (isOldFailing()) {
            mProcessedCanary = canary.copy();
            return;
        }
        mOldAnswers += newOld.answers();
        mOldFailed += newOld.mFailed;
        mOldSlow += newOld.mLatencies.countAbove(slowBucket);
        if (mOldAnswers >= MIN_BASELINE_ANSWERS) {
            evaluate(canary.since(mProcessedCanary), slowBucket, overall);
            mProcessedCanary = canary.copy();
        }
    }

    private void evaluate(
            final Totals newCanary, final int slowBucket, final CusumDetector overall) {
        final long bad = newCanary.bad(slowBucket);
        final long good = newCanary.answers() - bad;
        final double expectedShare = isWorseRecently() ? recentShare() : baselineShare();
        mDetector.addAnswers(good, bad, expectedShare);
        overall.addAnswers(good, bad, expectedShare);
        mAnswers += newCanary.answers();
        mFailed += newCanary.mFailed;
        mSlow += newCanary.mLatencies.countAbove(slowBucket);
    }

    private static double share(final double bad, final double answers) {
        return (bad + PRIOR_BAD) / (answers + PRIOR_ANSWERS);
    }

    /** Returns the share of the old version's answers that are bad, 0 to 1. */
    double baselineShare() {
        return share(mOldFailed + mOldSlow, mOldAnswers);
    }

    private double recentShare() {
        return share(mRecentBad, mRecentAnswers);
    }

    private boolean isWorseRecently() {
        return lowerBound(mRecentBad, mRecentAnswers) > baselineShare();
    }

    /** Returns the lower confidence bound of a share: the share less its standard error. */
    private static double lowerBound(final double bad, final double answers) {
        final double share = share(bad, answers);
        return share - Math.sqrt(share * (1 - share) / (answers + PRIOR_ANSWERS));
    }

    /** Returns whether the old version fails too often to compare the new one with it. */
    boolean isOldFailing() {
        return lowerBound(mRecentBad, mRecentAnswers) > FaultLikelihood.MAX_BASELINE_SHARE
                || lowerBound(mAllOldBad, mAllOldAnswers) > FaultLikelihood.MAX_BASELINE_SHARE;
    }

    private static int slowBucket(final Totals old) {
        int bucket = old.mLatencies.quantileBucket(0.5) + SLOW_BUCKET_DISTANCE;
        while (bucket < LatencyHistogram.BUCKET_COUNT
                && LatencyHistogram.upperBound(bucket).compareTo(MIN_SLOW_LATENCY) < 0) {
            bucket++;
        }
        return bucket;
    }

    boolean isBad() {
        return mDetector.isBad();
    }

    /** Returns the sample of the new version's failures. */
    AnswerSample failures() {
        return new AnswerSample(
                (int) mAnswers, (int) mFailed, share(mOldFailed, mOldAnswers), mOldAnswers);
    }

    /** Returns the sample of the new version's answers that are far too slow. */
    AnswerSample delays() {
        final long answered = mOldAnswers - mOldFailed;
        return new AnswerSample(
                (int) (mAnswers - mFailed), (int) mSlow, share(mOldSlow, answered), answered);
    }

    /** Returns the log likelihood ratio of a fault that affects a share of the answers. */
    double logRatio(final double affectedShare) {
        return FaultLikelihood.logRatio(mAnswers, bad(), baselineShare(), affectedShare);
    }

    /** Returns the number of old answers that the new ones are compared with. */
    long oldAnswers() {
        return mOldAnswers;
    }

    long bad() {
        return mFailed + mSlow;
    }

    long answers() {
        return mAnswers;
    }

    /** The totals of one version on a route, summed over all daemons. */
    static final class Totals {
        private final LatencyHistogram mLatencies = new LatencyHistogram();
        private long mFailed;

        void add(final RouteOutcomes outcomes) {
            mLatencies.addAll(new LatencyHistogram(outcomes.times()));
            mFailed += outcomes.failed();
        }

        private long answers() {
            return mFailed + mLatencies.total();
        }

        private long bad(final int slowBucket) {
            return mFailed + mLatencies.countAbove(slowBucket);
        }

        private Totals copy() {
            return since(new Totals());
        }

        private Totals since(final Totals earlier) {
            final Totals since = new Totals();
            since.mLatencies.addAll(mLatencies);
            since.mLatencies.subtractAll(earlier.mLatencies);
            since.mFailed = mFailed - earlier.mFailed;
            return since;
        }
    }
}
