package org.whinhead.serving.speed;

/** The mean logarithm of the times of one kind of step at one endpoint, for each load model. */
final class StepMeans {

    private final DecayedMean[] mMeans = new DecayedMean[LoadModel.CANDIDATES];

    StepMeans() {
        for (int index = 0; index < mMeans.length; index++) {
            mMeans[index] = new DecayedMean(EndpointSpeed.HALF_LIFE);
        }
    }

    void add(final double logRatio, final int running, final double weight, final long nowMillis) {
        for (int index = 0; index < mMeans.length; index++) {
            mMeans[index].add(logRatio - LoadModel.growth(index, running), weight, nowMillis);
        }
    }

    double weight(final long nowMillis) {
        return mMeans[0].weight(nowMillis);
    }

    double mean(final int candidate) {
        return mMeans[candidate].mean();
    }

    /** Replaces the samples by others that differ from them by a known amount. */
    void shift(final double difference, final double weight, final long nowMillis) {
        for (final DecayedMean mean : mMeans) {
            mean.set(mean.mean() + difference, weight, nowMillis);
        }
    }

    /** Multiplies the weight of the samples so far. */
    void scale(final double factor) {
        for (final DecayedMean mean : mMeans) {
            mean.scale(factor);
        }
    }
}
