package org.whinhead.gateway.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.speed.EndpointSpeeds;

/** Logs the slow endpoints now and then, and offers their number as a metric. */
public final class EndpointSpeedLogger {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointSpeedLogger.class);

    /** Many daemons log the same endpoints, so each does it rarely. */
    private static final Duration INTERVAL = Duration.ofSeconds(10);

    private static final int MAX_LOGGED = 5;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EndpointSpeeds mSpeeds;
    private Instant mLoggedAt;
    private long mLoggedSamples;
    private double mSamplesPerSecond;
    private Map<String, Double> mSlow = Map.of();

    /**
     * Creates a logger.
     *
     * @param speeds the learnt speeds
     */
    public EndpointSpeedLogger(final EndpointSpeeds speeds) {
        mSpeeds = Objects.requireNonNull(speeds, "speeds");
    }

    /**
     * Adds the metrics.
     *
     * @param metrics receives the gauges
     */
    public void addGauges(final RequestMetrics metrics) {
        metrics.addGauge("whinhead.endpoints.slow", () -> mSlow.size());
        metrics.addGauge("whinhead.endpoints.slowest", this::slowest);
        metrics.addGauge("whinhead.endpoints.speed.samples.per.second", () -> mSamplesPerSecond);
    }

    private double slowest() {
        return mSlow.values().stream().mapToDouble(Double::doubleValue).max().orElse(1);
    }

    /**
     * Logs the slow endpoints if it is time; must be called several times per second.
     *
     * @param now the current time
     */
    public void tick(final Instant now) {
        if (mLoggedAt == null) {
            mLoggedAt = now;
        }
        final Duration since = Duration.between(mLoggedAt, now);
        if (since.compareTo(INTERVAL) < 0) {
            return;
        }
        final long samples = mSpeeds.sampleCount() - mLoggedSamples;
        mSamplesPerSecond = samples * MILLIS_PER_SECOND / since.toMillis();
        mSlow = mSpeeds.slowEndpoints(now);
        mLoggedAt = now;
        mLoggedSamples += samples;
        if (!mSlow.isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("count", mSlow.size())
                    .addKeyValue("slowest", describeSlowest())
                    .addKeyValue("samplesPerSecond", mSamplesPerSecond)
                    .log("endpoints are slow");
        }
    }

    private String describeSlowest() {
        final StringBuilder text = new StringBuilder();
        mSlow.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_LOGGED)
                .forEach(
                        entry ->
                                text.append(text.isEmpty() ? "" : " ")
                                        .append(entry.getKey())
                                        .append('=')
                                        .append(Math.round(entry.getValue() * 10) / 10.0));
        return text.toString();
    }
}
