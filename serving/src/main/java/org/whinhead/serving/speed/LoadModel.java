package org.whinhead.serving.speed;

import java.time.Duration;

/**
 * How the time of a step of one service grows with the requests in progress at an endpoint, and the
 * time of the typical endpoint.
 *
 * <p>The time is taken to be a constant times 1 + running / k. Of several values of k the one is
 * used by which the samples of each endpoint differ least from each other. Comparing samples of
 * different endpoints instead would take the slowness of some for load, as slow endpoints have more
 * requests in progress.
 */
final class LoadModel {

    /** The values of k; the last one stands for a time that doesn't depend on the load. */
    private static final double[] DOUBLING_LOADS = {4, 8, 16, 32, 64, 128, 1e9};

    /** The number of candidates. */
    static final int CANDIDATES = DOUBLING_LOADS.length;

    /** The candidate that is used before any sample. */
    private static final int FIRST = 3;

    private static final int MAX_RUNNING = 1_024;
    private static final double[][] GROWTH = growth();

    /** The time in which the weight of a sample for the choice of k halves. */
    private static final Duration SCORE_HALF_LIFE = Duration.ofSeconds(20);

    /** A sample that is further off shows something else than load: a factor of 1.5. */
    private static final double MAX_ERROR = Math.log(1.5);

    /** The weight of an endpoint's samples from which another one is compared with them. */
    private static final double MIN_COMPARED_WEIGHT = 1;

    /** How much better another candidate must be, so that it doesn't change back and forth. */
    private static final double BETTER = 0.95;

    private final boolean mDependsOnLoad;
    private final DecayedMean[] mErrors = new DecayedMean[CANDIDATES];
    private int mBest;
    private double mOffset;
    private boolean mFitted;

    /**
     * Creates a model without samples.
     *
     * @param dependsOnLoad false if the expected times of samples include the load already
     */
    LoadModel(final boolean dependsOnLoad) {
        mDependsOnLoad = dependsOnLoad;
        mBest = dependsOnLoad ? FIRST : CANDIDATES - 1;
        for (int index = 0; index < CANDIDATES; index++) {
            mErrors[index] = new DecayedMean(SCORE_HALF_LIFE);
        }
    }

    private static double[][] growth() {
        final double[][] growth = new double[CANDIDATES][MAX_RUNNING + 1];
        for (int index = 0; index < CANDIDATES; index++) {
            for (int running = 0; running <= MAX_RUNNING; running++) {
                growth[index][running] = Math.log(1 + running / DOUBLING_LOADS[index]);
            }
        }
        return growth;
    }

    /** Returns the logarithm of the time at a load over the time at an idle endpoint. */
    static double growth(final int candidate, final int running) {
        return GROWTH[candidate][Math.min(Math.max(running, 0), MAX_RUNNING)];
    }

    /** Returns the candidate that fits best. */
    int best() {
        return mBest;
    }

    /** Returns the logarithm of the typical time at an idle endpoint over the expected one. */
    double offset() {
        return mOffset;
    }

    void setOffset(final double offset) {
        mOffset = offset;
        mFitted = true;
    }

    /** Returns whether the typical time is known, and not only the expected one. */
    boolean isFitted() {
        return mFitted;
    }

    /** Compares a sample with the earlier ones of its endpoint. */
    void compare(
            final StepMeans earlier,
            final double logRatio,
            final int running,
            final long nowMillis) {
        if (!mDependsOnLoad || earlier.weight(nowMillis) < MIN_COMPARED_WEIGHT) {
            return;
        }
        for (int index = 0; index < CANDIDATES; index++) {
            final double error = logRatio - growth(index, running) - earlier.mean(index);
            final double bounded = Math.min(Math.abs(error), MAX_ERROR);
            mErrors[index].add(bounded * bounded, 1, nowMillis);
        }
        int best = mBest;
        for (int index = 0; index < CANDIDATES; index++) {
            best = mErrors[index].mean() < mErrors[best].mean() ? index : best;
        }
        if (mErrors[best].mean() < BETTER * mErrors[mBest].mean()) {
            mBest = best;
        }
    }
}
