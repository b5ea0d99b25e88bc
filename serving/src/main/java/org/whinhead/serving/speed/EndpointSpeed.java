package org.whinhead.serving.speed;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * What is known of the speed of one endpoint: the deviations from the typical time that this daemon
 * and others have observed. Deviations are logarithms, so that twice as long and half as long are
 * equally far from typical.
 */
final class EndpointSpeed {

    /** The time in which the weight of a sample halves. */
    static final Duration HALF_LIFE = Duration.ofSeconds(3);

    /** The time without samples after which the estimate is half as far from typical. */
    private static final double IDLE_HALF_LIFE_MILLIS = 3_000;

    /** The time between samples that is no lack of them. */
    private static final long IDLE_GRACE_MILLIS = 300;

    /** The weight of the assumption that an endpoint is typical: half a sample. */
    private static final double TYPICAL_WEIGHT = 0.5;

    /** The time for which a computed estimate is used. */
    private static final long REFRESH_MILLIS = 50;

    /** The weight below which another daemon's samples are forgotten. */
    private static final double MIN_PEER_WEIGHT = 0.05;

    /** The largest weight of one daemon, so that none decides alone. */
    private static final double MAX_PEER_WEIGHT = 20;

    /** The most that one report changes an estimate: a factor of 1.5. */
    private static final double MAX_REPORT_CHANGE = Math.log(1.5);

    /** A time before all others, from which the time to any other one is a valid number. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final DecayedMean mOwn = new DecayedMean(HALF_LIFE);
    private final DecayedMean mOwnRunning = new DecayedMean(HALF_LIFE);
    private final Map<String, DecayedMean> mPeers = new HashMap<>();
    private long mOwnNewest;
    private long mNewest;
    private double mWeight;
    private double mSum;
    private long mComputedAt = NEVER;
    private double mSlowness = 1;
    private long mSlownessAt = NEVER;

    void addOwn(
            final double deviation, final double weight, final int running, final long nowMillis) {
        mOwn.add(deviation, weight, nowMillis);
        mOwnRunning.add(running, weight, nowMillis);
        mOwnNewest = nowMillis;
        mNewest = Math.max(mNewest, nowMillis);
        invalidate();
    }

    double ownWeight(final long nowMillis) {
        return mOwn.weight(nowMillis);
    }

    double ownDeviation() {
        return mOwn.mean();
    }

    int ownRunning() {
        return (int) Math.round(mOwnRunning.mean());
    }

    long ownNewest() {
        return mOwnNewest;
    }

    /** Applies another daemon's samples, which replace those of its earlier reports. */
    void applyPeer(
            final String daemon,
            final SpeedReport report,
            final double typical,
            final long nowMillis) {
        final double before = deviation(typical, nowMillis);
        final double weight = Math.min(report.weight(), MAX_PEER_WEIGHT);
        final DecayedMean peer = mPeers.computeIfAbsent(daemon, name -> new DecayedMean(HALF_LIFE));
        peer.set(report.deviation(), weight, nowMillis);
        mNewest = Math.max(mNewest, nowMillis - report.age().toMillis());
        invalidate();
        final double change = deviation(typical, nowMillis) - before;
        final double excess = Math.abs(change) - MAX_REPORT_CHANGE;
        if (excess > 0) {
            final double correction = excess * (mWeight + TYPICAL_WEIGHT) / weight;
            peer.set(report.deviation() - Math.signum(change) * correction, weight, nowMillis);
            invalidate();
        }
    }

    private void invalidate() {
        mComputedAt = NEVER;
        mSlownessAt = NEVER;
    }

    private void compute(final long nowMillis) {
        if (nowMillis - mComputedAt < REFRESH_MILLIS) {
            return;
        }
        mComputedAt = nowMillis;
        mWeight = mOwn.weight(nowMillis);
        mSum = mWeight * mOwn.mean();
        mPeers.values().removeIf(peer -> peer.weight(nowMillis) < MIN_PEER_WEIGHT);
        for (final DecayedMean peer : mPeers.values()) {
            final double weight = peer.weight(nowMillis);
            mWeight += weight;
            mSum += weight * peer.mean();
        }
    }

    /** Returns the weight of the samples of all daemons. */
    double weight(final long nowMillis) {
        compute(nowMillis);
        return mWeight;
    }

    /** Returns the mean deviation of all daemons' samples; only with a weight. */
    double mean(final long nowMillis) {
        compute(nowMillis);
        return mSum / mWeight;
    }

    /** Returns the estimated deviation from the typical endpoint; 0 if nothing is known. */
    double deviation(final double typical, final long nowMillis) {
        compute(nowMillis);
        final double known = (mSum - mWeight * typical) / (mWeight + TYPICAL_WEIGHT);
        final long idle = nowMillis - mNewest - IDLE_GRACE_MILLIS;
        return known * DecayedMean.decay(idle, IDLE_HALF_LIFE_MILLIS);
    }

    /** Returns the slowness, which is computed again only some times a second. */
    double slowness(final double typical, final long nowMillis) {
        if (nowMillis - mSlownessAt >= REFRESH_MILLIS) {
            mSlownessAt = nowMillis;
            mSlowness = Math.exp(deviation(typical, nowMillis));
        }
        return mSlowness;
    }
}
