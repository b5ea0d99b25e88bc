package org.whinhead.serving.speed;

import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/** The speeds of the endpoints of one service, and the times that are typical for it. */
final class ServiceSpeeds {

    /** A time that is further from typical counts as this far: a factor of 8. */
    private static final double MAX_DEVIATION = Math.log(8);

    /** The weight from which an endpoint counts for the typical one. */
    private static final double MIN_TYPICAL_WEIGHT = 0.5;

    /** The time for which the typical deviation is used: a median of all endpoints costs a sort. */
    private static final long TYPICAL_REFRESH_MILLIS = 250;

    private final Map<String, EndpointSpeed> mEndpoints = new HashMap<>();
    private final Map<SpeedKind, LoadCurve> mCurves = new EnumMap<>(SpeedKind.class);
    private double mTypical;
    private long mTypicalAt = Long.MIN_VALUE;

    ServiceSpeeds() {
        for (final SpeedKind kind : SpeedKind.values()) {
            mCurves.put(kind, new LoadCurve());
        }
    }

    /** Returns an endpoint's speed; null without any sample. */
    EndpointSpeed find(final String endpoint) {
        return mEndpoints.get(endpoint);
    }

    EndpointSpeed endpoint(final String endpoint) {
        return mEndpoints.computeIfAbsent(endpoint, id -> new EndpointSpeed());
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

    void record(final SpeedSample sample, final long nowMillis) {
        final EndpointSpeed endpoint = endpoint(sample.endpoint());
        final LoadCurve curve = mCurves.get(sample.kind());
        final double weight = sample.kind().weight();
        final double typical = typical(nowMillis);
        final double known = endpoint.deviation(typical, nowMillis);
        curve.add(sample.running(), bounded(sample.logRatio() - known, curve, sample), weight);
        final double deviation = sample.logRatio() - curve.value(sample.running());
        endpoint.addOwn(typical + clamp(deviation - typical), weight, sample.running(), nowMillis);
    }

    /** Bounds a value of a sample for the curve, so that one very late token doesn't move it. */
    private static double bounded(
            final double value, final LoadCurve curve, final SpeedSample sample) {
        if (curve.isEmpty()) {
            return value;
        }
        final double expected = curve.value(sample.running());
        return expected + clamp(value - expected);
    }

    private static double clamp(final double deviation) {
        return Math.min(Math.max(deviation, -MAX_DEVIATION), MAX_DEVIATION);
    }

    void apply(final String daemon, final SpeedReport report, final long nowMillis) {
        final double typical = typical(nowMillis);
        final SpeedReport bounded =
                new SpeedReport(
                        report.service(),
                        report.endpoint(),
                        report.weight(),
                        typical + clamp(report.deviation() - typical),
                        report.running(),
                        report.age());
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
        final double[] means = new double[mEndpoints.size()];
        int count = 0;
        for (final EndpointSpeed endpoint : mEndpoints.values()) {
            if (endpoint.weight(nowMillis) >= MIN_TYPICAL_WEIGHT) {
                means[count++] = endpoint.mean(nowMillis);
            }
        }
        Arrays.sort(means, 0, count);
        mTypical = count == 0 ? 0 : (means[(count - 1) / 2] + means[count / 2]) / 2;
        return mTypical;
    }
}
