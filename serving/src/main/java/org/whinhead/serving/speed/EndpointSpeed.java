package org.whinhead.serving.speed;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;

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

    private static final long PRUNE_MILLIS = 2_000;

    /** The largest weight of one daemon, so that none decides alone. */
    private static final double MAX_PEER_WEIGHT = 20;

    /** The most that one report changes an estimate: a factor of 1.5. */
    private static final double MAX_REPORT_CHANGE = Math.log(1.5);

    /** The time in which the weight of a sample halves that may show a sudden change. */
    static final Duration RECENT_HALF_LIFE = Duration.ofMillis(400);

    /** The weight of recent samples that show a change: two in a row, or three within a second. */
    private static final double MIN_RECENT_WEIGHT = 1.6;

    /** A change by a smaller factor is left to the mean, as engines are slower for moments. */
    private static final double MIN_CHANGE = Math.log(3);

    /** The same for an endpoint that counts as slow, which must get its work back. */
    private static final double MIN_RECOVERY = Math.log(1.8);

    /**
     * How far a sample counts from the estimate at most: a factor of 1.5. Without a bound, moments
     * in which an engine is slower would decide the estimate.
     */
    private static final double MAX_SURPRISE = Math.log(1.5);

    /** The weight of samples from which the estimate says what is far from it. */
    private static final double MIN_KNOWN_WEIGHT = 2;

    /** A sample that is further from the estimate counts as this far: a factor of 8. */
    private static final double MAX_POSSIBLE = Math.log(8);

    /** The weight of a report for the knee, as it has the mean of several loads. */
    private static final double PEER_KNEE_WEIGHT = 0.25;

    /** The part of the weight that samples keep from before a change. */
    private static final double KEPT_AT_CHANGE = 0.1;

    /** The time after a change in which other samples that show it are no further change. */
    private static final long SAME_CHANGE_MILLIS = 500;

    /**
     * The time for which a change is sent to all daemons at once, until estimates have followed.
     */
    private static final long NEWS_MILLIS = 450;

    /** The time for which a change is reported: by then all daemons had a report. */
    private static final long CHANGE_REPORTED_MILLIS = 10_000;

    /** The mean time between requests of all daemons to a slow endpoint that nobody else uses. */
    private static final double TEST_INTERVAL_MILLIS = 500;

    /** A time before all others, from which the time to any other one is a valid number. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<SpeedKind, StepMeans> mOwn = new EnumMap<>(SpeedKind.class);
    private final Map<SpeedKind, LoadModel> mModels;
    private final DecayedMean mRecent = new DecayedMean(RECENT_HALF_LIFE);
    private final KneeFinder mKnee = new KneeFinder();
    private final DecayedMean mSurprise = new DecayedMean(RECENT_HALF_LIFE);
    private final DecayedMean mOwnRunning = new DecayedMean(HALF_LIFE);
    private final Map<String, DecayedMean> mPeers = new HashMap<>();
    private final DecayedMean mPeerSum = new DecayedMean(HALF_LIFE);
    private long mOwnNewest = NEVER;
    private long mNewest = NEVER;
    private long mChangedAt = NEVER;
    private long mTestAt = NEVER;
    private long mPrunedAt = NEVER;
    private double mWeight;
    private double mSum;
    private long mComputedAt = NEVER;
    private double mSlowness = 1;
    private long mSlownessAt = NEVER;

    /**
     * Creates the speed of an endpoint without samples.
     *
     * @param models the load models of its service
     */
    EndpointSpeed(final Map<SpeedKind, LoadModel> models) {
        mModels = models;
    }

    /**
     * Adds a sample of this daemon.
     *
     * @param sample the sample
     * @param typical the deviation of the typical endpoint
     * @param all how far the recent samples of all endpoints are from the estimates
     * @param nowMillis the current time
     */
    void addOwn(
            final SpeedSample sample,
            final double typical,
            final DecayedMean all,
            final long nowMillis) {
        final LoadModel model = mModels.get(sample.kind());
        final StepMeans means = mOwn.computeIfAbsent(sample.kind(), kind -> new StepMeans());
        model.compare(means, sample.logRatio(), sample.running(), nowMillis);
        final double idleTime =
                sample.logRatio() - LoadModel.growth(model.best(), sample.running());
        final double known = typical + deviation(typical, nowMillis);
        if (!model.isFitted()) {
            model.setOffset(idleTime - known);
        }
        final double deviation = idleTime - model.offset();
        final double surprise = deviation - known;
        final double weight = sample.kind().weight();
        final double possible = clamp(surprise, MAX_POSSIBLE);
        final boolean isKnown = weight(nowMillis) >= MIN_KNOWN_WEIGHT;
        final double excess = surprise - (isKnown ? clamp(surprise, MAX_SURPRISE) : possible);
        means.add(sample.logRatio() - excess, sample.running(), weight, nowMillis);
        mRecent.add(deviation - surprise + possible, weight, nowMillis);
        mKnee.add(deviation - surprise + possible, weight, sample.running(), nowMillis);
        mSurprise.add(possible, weight, nowMillis);
        all.add(possible, weight, nowMillis);
        mOwnRunning.add(sample.running(), weight, nowMillis);
        mOwnNewest = nowMillis;
        mNewest = Math.max(mNewest, nowMillis);
        invalidate();
    }

    private static double clamp(final double value, final double limit) {
        return Math.min(Math.max(value, -limit), limit);
    }

    /**
     * Discounts the earlier samples if the recent ones of this daemon differ from them by far.
     *
     * @param all how far the recent samples of all endpoints are from the estimates. If those of
     *     the others are far as well, the cause is load or this daemon
     * @param nowMillis the current time
     * @return whether the speed has changed
     */
    boolean detectChange(final DecayedMean all, final long nowMillis) {
        if (mRecent.weight(nowMillis) < MIN_RECENT_WEIGHT
                || nowMillis - mChangedAt < SAME_CHANGE_MILLIS
                || isUsual(mSurprise.mean() - all.meanWithout(mSurprise, nowMillis))) {
            return false;
        }
        mChangedAt = nowMillis;
        discountPeers();
        final double difference = mRecent.mean() - ownDeviation(nowMillis);
        final double part = mRecent.weight(nowMillis) / ownWeight(nowMillis);
        mOwn.values()
                .forEach(
                        means ->
                                means.shift(difference, part * means.weight(nowMillis), nowMillis));
        invalidate();
        return true;
    }

    private boolean isUsual(final double surprise) {
        final boolean slow = mRecent.mean() - surprise >= MIN_RECOVERY;
        return surprise < MIN_CHANGE && surprise > (slow ? -MIN_RECOVERY : -MIN_CHANGE);
    }

    /** Returns whether the last change is so recent that the other daemons may not know it. */
    boolean isNews(final long nowMillis) {
        return nowMillis - mChangedAt <= NEWS_MILLIS;
    }

    /** Returns the time since a change that is still to be reported; empty without one. */
    Optional<Duration> changeAge(final long nowMillis) {
        final long age = nowMillis - mChangedAt;
        return age > CHANGE_REPORTED_MILLIS
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(Math.max(age, 0)));
    }

    /**
     * Returns whether this daemon is to send a slow endpoint a request that shows whether it is
     * well again. All daemons together send some two a second while nobody else uses it.
     */
    boolean isTestDue(final int daemons, final RandomGenerator random, final long nowMillis) {
        if (nowMillis - mNewest < IDLE_GRACE_MILLIS) {
            mTestAt = NEVER;
            return false;
        }
        final boolean due = mTestAt != NEVER && nowMillis >= mTestAt;
        if (due || mTestAt == NEVER) {
            final double pause =
                    TEST_INTERVAL_MILLIS * daemons * -Math.log(1 - random.nextDouble());
            mTestAt = nowMillis + (long) pause;
        }
        return due;
    }

    double ownWeight(final long nowMillis) {
        double weight = 0;
        for (final StepMeans means : mOwn.values()) {
            weight += means.weight(nowMillis);
        }
        return weight;
    }

    /** Returns the mean deviation by the samples of this daemon; only with a weight. */
    double ownDeviation(final long nowMillis) {
        double weight = 0;
        double sum = 0;
        for (final Map.Entry<SpeedKind, StepMeans> means : mOwn.entrySet()) {
            final LoadModel model = mModels.get(means.getKey());
            final double part = means.getValue().weight(nowMillis);
            weight += part;
            sum += part * (means.getValue().mean(model.best()) - model.offset());
        }
        return sum / weight;
    }

    /** Returns this daemon's samples of a kind; null without any. */
    StepMeans own(final SpeedKind kind) {
        return mOwn.get(kind);
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
        report.changeAge().ifPresent(age -> applyChange(nowMillis - age.toMillis()));
        final long newest = nowMillis - report.age().toMillis();
        final double bounded = Math.min(report.weight(), MAX_PEER_WEIGHT);
        final double weight = newest < mChangedAt ? bounded * KEPT_AT_CHANGE : bounded;
        replacePeer(daemon, report.deviation(), weight, nowMillis);
        mNewest = Math.max(mNewest, newest);
        mKnee.add(report.deviation(), PEER_KNEE_WEIGHT, report.running(), nowMillis);
        invalidate();
        final double change = deviation(typical, nowMillis) - before;
        final double excess = Math.abs(change) - MAX_REPORT_CHANGE;
        if (excess > 0) {
            final double correction = excess * (mWeight + TYPICAL_WEIGHT) / weight;
            final double corrected = report.deviation() - Math.signum(change) * correction;
            replacePeer(daemon, corrected, weight, nowMillis);
            invalidate();
        }
    }

    private void replacePeer(
            final String daemon, final double mean, final double weight, final long nowMillis) {
        final DecayedMean peer = mPeers.computeIfAbsent(daemon, name -> new DecayedMean(HALF_LIFE));
        mPeerSum.add(peer.mean(), -peer.weight(nowMillis), nowMillis);
        peer.set(mean, weight, nowMillis);
        mPeerSum.add(mean, weight, nowMillis);
    }

    /**
     * Forgets daemons whose samples no longer count, and adds up the others anew, as rounding
     * errors of the sum would grow.
     */
    private void prunePeers(final long nowMillis) {
        if (nowMillis - mPrunedAt < PRUNE_MILLIS) {
            return;
        }
        mPrunedAt = nowMillis;
        mPeers.values().removeIf(peer -> peer.weight(nowMillis) < MIN_PEER_WEIGHT);
        mPeerSum.set(0, 0, nowMillis);
        mPeers.values()
                .forEach(peer -> mPeerSum.add(peer.mean(), peer.weight(nowMillis), nowMillis));
    }

    private void discountPeers() {
        mPeers.values().forEach(peer -> peer.scale(KEPT_AT_CHANGE));
        mPeerSum.scale(KEPT_AT_CHANGE);
    }

    /** Discounts samples from before a change that another daemon has observed. */
    private void applyChange(final long changedAt) {
        if (changedAt - mChangedAt < SAME_CHANGE_MILLIS) {
            return;
        }
        mChangedAt = changedAt;
        discountPeers();
        mOwn.values().forEach(means -> means.scale(KEPT_AT_CHANGE));
    }

    /** Discards computed values, as the samples or the typical time have changed. */
    void invalidate() {
        mComputedAt = NEVER;
        mSlownessAt = NEVER;
    }

    private void compute(final long nowMillis) {
        if (nowMillis - mComputedAt < REFRESH_MILLIS) {
            return;
        }
        mComputedAt = nowMillis;
        mWeight = ownWeight(nowMillis);
        mSum = mWeight > 0 ? mWeight * ownDeviation(nowMillis) : 0;
        prunePeers(nowMillis);
        final double peerWeight = Math.max(mPeerSum.weight(nowMillis), 0);
        mWeight += peerWeight;
        mSum += peerWeight * mPeerSum.mean();
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

    /** Returns the load from which the endpoint slows down; empty if none was observed. */
    OptionalInt knee(final long nowMillis) {
        return mKnee.knee(nowMillis);
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
