package org.whinhead.serving.speed;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Endpoint speeds of all services, learned from served requests and from other daemons' reports.
 */
public final class EndpointSpeeds {

    /** The most endpoints in a report: it must fit into a packet. The others are in the next. */
    static final int MAX_REPORTED = 12;

    /** The weight of samples below which they are no longer reported. */
    private static final double MIN_REPORTED_WEIGHT = 0.25;

    /** Older samples of other daemons say little of an endpoint's speed. */
    private static final Duration MAX_AGE = Duration.ofSeconds(10);

    /**
     * A longer time between two calls for reports, one of which is due every 200 ms: this process
     * stood still. Steps that were in progress meanwhile show nothing of their endpoint.
     */
    private static final long MAX_TICK_MILLIS = 600;

    /** The time without a report after which a daemon doesn't count: two long report intervals. */
    private static final long MAX_SILENCE_MILLIS = 15_000;

    private final Map<String, ServiceSpeeds> mServices = new HashMap<>();
    private final Map<String, String> mChanged = new LinkedHashMap<>();
    private final Map<String, Long> mDaemons = new HashMap<>();
    private Runnable mOnChange = () -> {};
    private long mTickAt = Long.MIN_VALUE;
    private long mRunningSince = Long.MIN_VALUE;
    private int mReportCursor;
    private long mSampleCount;

    /**
     * Records a completed step of a request. Must not be called for failures, which say nothing of
     * the speed.
     *
     * @param sample the step
     * @param now the current time
     */
    public void record(final SpeedSample sample, final Instant now) {
        final long nowMillis = now.toEpochMilli();
        if (mTickAt != Long.MIN_VALUE && nowMillis - mTickAt > MAX_TICK_MILLIS
                || nowMillis - sample.taken().toMillis() < mRunningSince) {
            return;
        }
        mSampleCount++;
        if (service(sample.service()).record(sample, nowMillis)) {
            mChanged.put(sample.endpoint(), sample.service());
            mOnChange.run();
        }
    }

    /**
     * Sets what to do when samples of this daemon show that an endpoint's speed has changed
     * suddenly: the other daemons must know sooner than by the next reports.
     *
     * @param onChange sends the changes
     */
    public void onChange(final Runnable onChange) {
        mOnChange = Objects.requireNonNull(onChange, "onChange");
    }

    /**
     * Returns the endpoints whose speed has changed lately by samples of this daemon.
     *
     * @param now the current time
     * @return the reports; each endpoint is in several calls in a row, as one report changes the
     *     estimates of others by a bounded factor only
     */
    public List<SpeedReport> changes(final Instant now) {
        final long nowMillis = now.toEpochMilli();
        final List<SpeedReport> reports = new ArrayList<>();
        mChanged.entrySet()
                .removeIf(
                        changed -> {
                            final EndpointSpeed endpoint =
                                    service(changed.getValue()).find(changed.getKey());
                            if (endpoint == null || !endpoint.isNews(nowMillis)) {
                                return true;
                            }
                            if (reports.size() < MAX_REPORTED) {
                                reports.add(
                                        report(
                                                changed.getValue(),
                                                changed.getKey(),
                                                endpoint,
                                                nowMillis));
                            }
                            return false;
                        });
        return reports;
    }

    /**
     * Returns a slow endpoint to which this daemon is to send a request now, so that the daemons
     * learn whether it is well again.
     *
     * @param service the service
     * @param random the source of chance
     * @param now the current time
     * @return the endpoint's id; null without one
     */
    public String dueTest(final String service, final RandomGenerator random, final Instant now) {
        final ServiceSpeeds speeds = mServices.get(service);
        return speeds == null
                ? null
                : speeds.dueTest(mDaemons.size() + 1, random, now.toEpochMilli());
    }

    private ServiceSpeeds service(final String service) {
        return mServices.computeIfAbsent(service, name -> new ServiceSpeeds());
    }

    /**
     * Returns an endpoint's time relative to its service's typical endpoint.
     *
     * @param service the endpoint's service
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return 1 if it is typical or unknown, 2 if it takes twice as long
     */
    public double slowness(final String service, final String endpoint, final Instant now) {
        final ServiceSpeeds speeds = mServices.get(service);
        return speeds == null ? 1 : speeds.slowness(endpoint, now.toEpochMilli());
    }

    /**
     * Returns the number of requests in progress from which an endpoint slows down.
     *
     * @param service the endpoint's service
     * @param endpoint the endpoint's id
     * @param now the current time
     * @return the number; empty if none was observed
     */
    public OptionalInt knee(final String service, final String endpoint, final Instant now) {
        final ServiceSpeeds speeds = mServices.get(service);
        final EndpointSpeed speed = speeds == null ? null : speeds.find(endpoint);
        return speed == null ? OptionalInt.empty() : speed.knee(now.toEpochMilli());
    }

    /**
     * Returns the mean speed of some endpoints of a service. An endpoint that is twice as slow as
     * the typical one counts half.
     *
     * @param service the service
     * @param endpoints the ids of the endpoints
     * @param now the current time
     * @return 1 if they are as fast as the typical endpoint, or without any
     */
    public double meanSpeed(
            final String service, final Collection<String> endpoints, final Instant now) {
        return endpoints.stream()
                .mapToDouble(endpoint -> 1 / slowness(service, endpoint, now))
                .average()
                .orElse(1);
    }

    /**
     * Returns the slow endpoints of all services.
     *
     * @param now the current time
     * @return the ids, with the slowness of each
     */
    public Map<String, Double> slowEndpoints(final Instant now) {
        final Map<String, Double> slow = new TreeMap<>();
        mServices.values().forEach(speeds -> speeds.addSlow(slow, now.toEpochMilli()));
        return slow;
    }

    /**
     * Returns what this daemon has observed, to be reported to the other daemons. Must be called
     * several times a second. Only a part of the endpoints fits into a report; the next one has the
     * others.
     *
     * @param now the current time
     * @return the reports
     */
    public List<SpeedReport> takeReports(final Instant now) {
        final long nowMillis = now.toEpochMilli();
        if (mTickAt != Long.MIN_VALUE && nowMillis - mTickAt > MAX_TICK_MILLIS) {
            mRunningSince = nowMillis;
        }
        mTickAt = nowMillis;
        mDaemons.values().removeIf(at -> nowMillis - at > MAX_SILENCE_MILLIS);
        final List<SpeedReport> reports = reports(nowMillis);
        if (reports.size() <= MAX_REPORTED) {
            return reports;
        }
        final List<SpeedReport> taken = new ArrayList<>(MAX_REPORTED);
        for (int count = 0; count < MAX_REPORTED; count++) {
            taken.add(reports.get(mReportCursor++ % reports.size()));
        }
        return taken;
    }

    private List<SpeedReport> reports(final long nowMillis) {
        final List<SpeedReport> reports = new ArrayList<>();
        mServices.forEach(
                (service, speeds) ->
                        speeds.endpoints()
                                .forEach(
                                        (id, endpoint) -> {
                                            if (endpoint.ownWeight(nowMillis)
                                                    >= MIN_REPORTED_WEIGHT) {
                                                reports.add(
                                                        report(service, id, endpoint, nowMillis));
                                            }
                                        }));
        return reports;
    }

    private static SpeedReport report(
            final String service,
            final String id,
            final EndpointSpeed endpoint,
            final long nowMillis) {
        return new SpeedReport(
                service,
                id,
                endpoint.ownWeight(nowMillis),
                endpoint.ownDeviation(nowMillis),
                endpoint.ownRunning(),
                Duration.ofMillis(Math.max(nowMillis - endpoint.ownNewest(), 0)),
                endpoint.changeAge(nowMillis));
    }

    /**
     * Applies another daemon's report, taking its age into account.
     *
     * @param daemon the other daemon
     * @param report what it has observed
     * @param age the time since its last sample
     * @param now the current time
     */
    public void applyReport(
            final String daemon, final SpeedReport report, final Duration age, final Instant now) {
        if (age.isNegative() || age.compareTo(MAX_AGE) > 0 || report.weight() <= 0) {
            return;
        }
        mDaemons.put(daemon, now.toEpochMilli());
        service(report.service()).apply(daemon, report, now.toEpochMilli());
    }

    /**
     * Forgets an endpoint that has restarted.
     *
     * @param endpoint the endpoint's id
     */
    public void forget(final String endpoint) {
        mServices.values().forEach(speeds -> speeds.forget(endpoint));
    }

    /**
     * Forgets endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retain(final Collection<String> known) {
        mServices.values().forEach(speeds -> speeds.retain(known));
    }

    /**
     * Returns the number of samples that this daemon has recorded.
     *
     * @return the number since its start
     */
    public long sampleCount() {
        return mSampleCount;
    }
}
