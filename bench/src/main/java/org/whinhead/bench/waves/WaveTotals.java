package org.whinhead.bench.waves;

import org.HdrHistogram.Histogram;
import org.whinhead.demo.DemoResult;
import org.whinhead.demo.LoadPhases;
import org.whinhead.standins.load.result.RequestOutcome;

/** Sums the results of several reclaim waves. */
final class WaveTotals {

    private static final double TAIL_PERCENTILE = 95;
    private static final double MICROS_IN_MILLI = 1000;
    private static final double THOUSAND = 1000;
    private static final double PERCENT = 100;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram mFirstToken = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mBetweenTokens = new Histogram(SIGNIFICANT_DIGITS);
    private long mRecomputed;
    private long mGenerated;
    private long mCompleted;
    private long mRequests;
    private long mLost;
    private long mDoubled;
    private long mWrong;
    private double mCost;

    void add(final DemoResult wave) {
        final LoadPhases.Times during = wave.phases().during();
        mFirstToken.add(during.firstToken().histogram());
        mBetweenTokens.add(during.betweenTokens().histogram());
        mRecomputed += wave.recomputedTokens();
        mGenerated += wave.generatedTokens();
        mRequests += wave.load().requests().size();
        mCompleted += wave.load().count(RequestOutcome.COMPLETED);
        mLost += wave.lost();
        mDoubled += wave.doubled();
        mWrong += wave.wrongAnswers() + wave.notRunButRan();
        mCost += wave.cost();
    }

    /** Returns the figures in the order of the columns of {@link WavesBenchmark}. */
    double[] figures(final WaveTotals baseline) {
        return new double[] {
            mRequests,
            mCompleted,
            mRecomputed,
            mRecomputed * PERCENT / Math.max(1, mGenerated),
            (double) mRecomputed / Math.max(1, baseline.mRecomputed),
            mFirstToken.getValueAtPercentile(TAIL_PERCENTILE) / MICROS_IN_MILLI,
            mBetweenTokens.getValueAtPercentile(TAIL_PERCENTILE) / MICROS_IN_MILLI,
            mCost * THOUSAND / Math.max(1, mCompleted),
            mLost,
            mDoubled,
            mWrong
        };
    }
}
