package org.whinhead.serving.speed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** The speeds of the endpoints of one service, and the times that are typical for it. */
final class ServiceSpeeds {

    /** A time that is further from typical counts as this far: a factor of 8. */
    private static final double MAX_DEVIATION = Math.log(8);

    /** The weight from which an endpoint counts for the typical one. */
    private static final double MIN_TYPICAL_WEIGHT = 0.5;

    /** The largest weight of an endpoint for the typical time, so that no busy one decides it. */
    private static final double MAX_FIT_WEIGHT = 3;

    private static final double MIN_FIT_WEIGHT = 0.2;

    /** The time for which the typical deviation is used: a median of all endpoints costs a sort. */
    private static final long TYPICAL_REFRESH_MILLIS = 250;

    /** The slowness from which an endpoint counts as slow: beyond the usual differences. */
    static final double SLOW = 1.8;

    private final Map<String, EndpointSpeed> mEndpoints = new HashMap<>();
    private final Map<SpeedKind, LoadModel> mModels = new EnumMap<>(SpeedKind.class);
    private final DecayedMean mSurprise = new DecayedMean(EndpointSpeed.RECENT_HALF_LIFE);
    private final List<String> mSlow = new ArrayList<>();
    private double mTypical;
    private long mTypicalAt = Long.MIN_VALUE;

    ServiceSpeeds() {
        for (final SpeedKind kind : SpeedKind.values()) {
            mModels.put(kind, new LoadModel(kind == SpeedKind.BETWEEN_TOKENS));
        }
    }

    /** Returns an endpoint's speed; null without any sample. */
    EndpointSpeed find(final String endpoint) {
        return mEndpoints.get(endpoint);
    }

    EndpointSpeed endpoint(final String endpoint) {
        return mEndpoints.computeIfAbsent(endpoint, id -> new EndpointSpeed(mModels));
    }

    Map<String, EndpointSpeed> endpoints() {
        return mEndpoints;
    }

    void forget(final String endpoint) {
        mEndpoints.remove(endpoint);
    }

    void retain(final Collection<String> known) {
        mEndpoints.keySet().retainAll(known);
    }

    /** Records a sample and returns whether the endpoint's speed has changed suddenly. */
    boolean record(final SpeedSample sample, final long nowMillis) {
        final EndpointSpeed endpoint = endpoint(sample.endpoint());
        endpoint.addOwn(sample, typical(nowMillis), mSurprise, nowMillis);
        return endpoint.detectChange(mSurprise, nowMillis);
    }

    private static double clamp(final double deviation) {
        return Math.min(Math.max(deviation, -MAX_DEVIATION), MAX_DEVIATION);
    }

    void apply(final String daemon, final SpeedReport report, final long nowMillis) {
        final double typical = typical(nowMillis);
        final SpeedReport bounded =
                report.withDeviation(typical + clamp(report.deviation() - typical));
        endpoint(report.endpoint()).applyPeer(daemon, bounded, typical, nowMillis);
    }

    double slowness(final String endpoint, final long nowMillis) {
        final EndpointSpeed speed = mEndpoints.get(endpoint);
        return speed == null ? 1 : speed.slowness(typical(nowMillis), nowMillis);
    }

    /**
     * Returns the median deviation of the endpoints. If all become slow together, it moves with
     * them, and none counts as slow.
     */
    double typical(final long nowMillis) {
        if (mTypicalAt != Long.MIN_VALUE && nowMillis - mTypicalAt < TYPICAL_REFRESH_MILLIS) {
            return mTypical;
        }
        mTypicalAt = nowMillis;
        mModels.forEach((kind, model) -> fitOffset(kind, model, nowMillis));
        mEndpoints.values().forEach(EndpointSpeed::invalidate);
        mTypical = median(nowMillis);
        findSlow(nowMillis);
        return mTypical;
    }

    /**
     * Sets the typical time so that this daemon's samples agree on average with what all daemons
     * know of their endpoints. It includes what only this daemon adds, such as a slow clock.
     */
    private void fitOffset(final SpeedKind kind, final LoadModel model, final long nowMillis) {
        double weight = 0;
        double sum = 0;
        for (final EndpointSpeed endpoint : mEndpoints.values()) {
            final StepMeans own = endpoint.own(kind);
            if (own != null) {
                final double part = Math.min(own.weight(nowMillis), MAX_FIT_WEIGHT);
                final double known = endpoint.deviation(mTypical, nowMillis);
                weight += part;
                sum += part * (own.mean(model.best()) - known);
            }
        }
        if (weight > MIN_FIT_WEIGHT) {
            model.setOffset(sum / weight);
        }
    }

    private double median(final long nowMillis) {
        final double[] means = new double[mEndpoints.size()];
        int count = 0;
        for (final EndpointSpeed endpoint : mEndpoints.values()) {
            if (endpoint.weight(nowMillis) >= MIN_TYPICAL_WEIGHT) {
                means[count++] = endpoint.mean(nowMillis);
            }
        }
        Arrays.sort(means, 0, count);
        return count == 0 ? 0 : (means[(count - 1) / 2] + means[count / 2]) / 2;
    }

    private void findSlow(final long nowMillis) {
        mSlow.clear();
        mEndpoints.forEach(
                (id, endpoint) -> {
                    if (endpoint.slowness(mTypical, nowMillis) >= SLOW) {
                        mSlow.add(id);
                    }
                });
    }

    /** Adds the slow endpoints to others. */
    void addSlow(final Map<String, Double> slow, final long nowMillis) {
        typical(nowMillis);
        mSlow.forEach(id -> slow.put(id, slowness(id, nowMillis)));
    }

    /**
     * Returns a slow endpoint that nobody has used for a moment, and to which this daemon is to
     * send a request now; null without one.
     */
    String dueTest(final int daemons, final RandomGenerator random, final long nowMillis) {
        typical(nowMillis);
        for (int index = 0; index < mSlow.size(); index++) {
            final EndpointSpeed endpoint = mEndpoints.get(mSlow.get(index));
            if (endpoint != null && endpoint.isTestDue(daemons, random, nowMillis)) {
                return mSlow.get(index);
            }
        }
        return null;
    }
}
