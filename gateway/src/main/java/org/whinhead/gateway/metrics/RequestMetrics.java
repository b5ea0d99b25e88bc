package org.whinhead.gateway.metrics;

import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.metrics.CounterKey.Metric;
import org.whinhead.serving.reach.AccessPath;
import org.whinhead.serving.route.RouteKind;

/**
 * Counts requests, their outcomes and their durations; used on the event loop only.
 *
 * <p>The Prometheus registry is created at the first scrape, as its setup would delay the start. A
 * request finds its counters without building their tags.
 */
public final class RequestMetrics {

    /** Upper bounds of the histogram: from a plain call to the longest streams. */
    private static final long[] BUCKET_BOUNDS_MILLIS = {
        10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000
    };

    private static final String INFINITE_BOUND = "+Inf";

    private final Map<CounterKey, Counter> mCounters = new HashMap<>();
    private final Map<String, DoubleSupplier> mGauges = new LinkedHashMap<>();
    private final List<TaggedGauge> mTaggedGauges = new ArrayList<>();
    private PrometheusMeterRegistry mRegistry;

    /**
     * Counts a request that was refused without being sent.
     *
     * @param reason the reason of the refusal
     */
    public void recordRefused(final String reason) {
        counter(Metric.REFUSED, reason, "").add(1);
    }

    /**
     * Counts a request that was read during a graceful stop.
     *
     * @param kind the kind of its route
     */
    public void recordReadWhileStopping(final RouteKind kind) {
        counter(Metric.READ_WHILE_STOPPING, kind.name(), "").add(1);
    }

    /**
     * Counts a request that has no answer as a stopped daemon's last answers are due.
     *
     * @param kind the kind of its route
     */
    public void recordUnansweredAtExit(final RouteKind kind) {
        counter(Metric.UNANSWERED_AT_EXIT, kind.name(), "").add(1);
    }

    /**
     * Counts the tokens of an admitted request. Summed over all daemons, the growth within a window
     * is bounded by the customer's quota.
     *
     * @param customer the customer's name
     * @param tokens the cost of the request in tokens
     */
    public void recordAdmitted(final String customer, final long tokens) {
        counter(Metric.TOKENS_ADMITTED, customer, "").add(tokens);
    }

    /**
     * Counts an attempt without an answer.
     *
     * @param verdict whether the request may have run
     * @param reason the reason of the failure
     */
    public void recordFailedAttempt(final Verdict verdict, final String reason) {
        counter(Metric.ATTEMPT_FAILED, verdict.wireName(), reason).add(1);
    }

    /**
     * Counts a connect to an endpoint.
     *
     * @param succeeded whether the endpoint accepted it
     */
    public void recordConnect(final boolean succeeded) {
        counter(Metric.CONNECT, succeeded ? "accepted" : "failed", "").add(1);
    }

    /**
     * Counts a request to another daemon to relay a connection to an endpoint.
     *
     * @param outcome whether it was relayed, or why not
     */
    public void recordRelay(final String outcome) {
        counter(Metric.RELAY, outcome, "").add(1);
    }

    /**
     * Counts a connection that has ended before anything of the response to its request was
     * received.
     *
     * @param service the endpoint's service
     * @param path the way on which the endpoint was connected
     */
    public void recordEndedUnanswered(final String service, final AccessPath path) {
        counter(Metric.ENDED_UNANSWERED, service, path.name()).add(1);
    }

    /**
     * Counts a request that an endpoint rejected for want of room.
     *
     * @param service the endpoint's service
     */
    public void recordRejection(final String service) {
        counter(Metric.REJECTED, service, "").add(1);
    }

    /**
     * Counts a request that is not sent, as its service has no capacity for it.
     *
     * @param service the requested service
     * @param reason why it is not sent
     */
    public void recordNotAdmitted(final String service, final String reason) {
        counter(Metric.NOT_ADMITTED, service, reason).add(1);
    }

    /**
     * Counts a request for which no connection to any endpoint may be opened.
     *
     * @param service the requested service
     */
    public void recordWithoutConnection(final String service) {
        counter(Metric.WITHOUT_CONNECTION, service, "").add(1);
    }

    /**
     * Counts a request that was sent to an endpoint that names a limit of requests per second.
     *
     * @param attempt which attempt of its request it was
     */
    public void recordSentToLimited(final String attempt) {
        counter(Metric.SENT_TO_LIMITED, attempt, "").add(1);
    }

    /**
     * Counts an endpoint that has said in a response that it leaves.
     *
     * @param service the endpoint's service
     */
    public void recordDepartureStated(final String service) {
        counter(Metric.DEPARTURE_STATED, service, "").add(1);
    }

    /**
     * Counts an attempt at an endpoint that had said in a response that it leaves.
     *
     * @param attempt why the attempt was made
     */
    public void recordSentToLeaving(final String attempt) {
        counter(Metric.SENT_TO_LEAVING, attempt, "").add(1);
    }

    /**
     * Counts a rejection with which an endpoint asked for a pause.
     *
     * @param service the endpoint's service
     */
    public void recordPauseRequested(final String service) {
        counter(Metric.PAUSE_REQUESTED, service, "").add(1);
    }

    /**
     * Counts an attempt at an endpoint within the pause for which it had asked this daemon.
     *
     * @param attempt why the attempt was made
     */
    public void recordSentWithinPause(final String attempt) {
        counter(Metric.SENT_WITHIN_PAUSE, attempt, "").add(1);
    }

    /**
     * Counts an endpoint that has crashed while it had requests of this daemon.
     *
     * @param service the endpoint's service
     */
    public void recordCrash(final String service) {
        counter(Metric.CRASHED, service, "").add(1);
    }

    /**
     * Counts a response that ended when its connection was closed.
     *
     * @param service the endpoint's service
     */
    public void recordEndedWithConnection(final String service) {
        counter(Metric.ENDED_WITH_CONNECTION, service, "").add(1);
    }

    /**
     * Counts a connection on which an endpoint sent more bytes that are no response than is
     * allowed, or that were no complete response at the deadline.
     *
     * @param service the endpoint's service
     * @param part the part that was too long
     */
    public void recordOverlong(final String service, final String part) {
        counter(Metric.OVERLONG, service, part).add(1);
    }

    /**
     * Counts a response with whose end bytes were received that don't belong to it.
     *
     * @param service the endpoint's service
     * @param kind what the bytes are
     */
    public void recordLeftOver(final String service, final String kind) {
        counter(Metric.LEFT_OVER, service, kind).add(1);
    }

    /**
     * Counts a head of a response that contains another status line.
     *
     * @param service the endpoint's service
     */
    public void recordJoinedHead(final String service) {
        counter(Metric.JOINED_HEAD, service, "").add(1);
    }

    /**
     * Counts a further attempt that the retry budget did not allow.
     *
     * @param service the requested service
     */
    public void recordRetryDenied(final String service) {
        counter(Metric.RETRY_DENIED, service, "").add(1);
    }

    /**
     * Counts a run that was moved, or should have been.
     *
     * @param answered whether the endpoint answered
     */
    public void recordMoved(final boolean answered) {
        counter(Metric.MOVED, String.valueOf(answered), "").add(1);
    }

    /**
     * Counts an attempt that continues a stream after its first event.
     *
     * @param by what continues it: a failover, a move or the caller
     * @param sameVersion whether the endpoint runs the version that began the stream
     */
    public void recordStreamContinued(final String by, final boolean sameVersion) {
        counter(Metric.STREAM_CONTINUED, by, sameVersion ? "same" : "other").add(1);
    }

    /**
     * Counts a request that has ended.
     *
     * @param kind the kind of the request's route
     * @param outcome the outcome
     * @param duration the time that it took
     */
    public void recordFinished(
            final RouteKind kind, final String outcome, final Duration duration) {
        final String kindName = kind.name();
        counter(Metric.FINISHED, kindName, outcome).add(1);
        counter(Metric.TIME_MILLIS, kindName, "").add(duration.toMillis());
        for (final long bound : BUCKET_BOUNDS_MILLIS) {
            if (duration.toMillis() <= bound) {
                counter(Metric.TIME_WITHIN, kindName, String.valueOf(bound)).add(1);
            }
        }
        counter(Metric.TIME_WITHIN, kindName, INFINITE_BOUND).add(1);
    }

    /**
     * Renders the metrics page.
     *
     * @return the counters in Prometheus's text format
     */
    public String renderPage() {
        if (mRegistry == null) {
            mRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            mCounters.forEach(this::register);
            mGauges.forEach(this::registerGauge);
        }
        mTaggedGauges.forEach(this::refresh);
        return mRegistry.scrape();
    }

    /**
     * Adds a value that is read at each scrape; must be called before the first one.
     *
     * @param name the metric's name
     * @param value returns the current value
     */
    public void addGauge(final String name, final DoubleSupplier value) {
        mGauges.put(name, value);
    }

    /**
     * Adds values that are read at each scrape, one for each combination of tags.
     *
     * @param name the metric's name
     * @param tags the names of the tags
     * @param values returns the current values by the values of the tags, in the same order
     */
    public void addGauges(
            final String name,
            final List<String> tags,
            final Supplier<? extends Map<List<String>, ? extends Number>> values) {
        mTaggedGauges.add(new TaggedGauge(name, List.copyOf(tags), values));
    }

    private void refresh(final TaggedGauge gauge) {
        final List<MultiGauge.Row<?>> rows = new ArrayList<>();
        gauge.mValues
                .get()
                .forEach(
                        (values, number) ->
                                rows.add(MultiGauge.Row.of(gauge.tags(values), number)));
        if (gauge.mRegistered == null) {
            gauge.mRegistered = MultiGauge.builder(gauge.mName).register(mRegistry);
        }
        gauge.mRegistered.register(rows, true);
    }

    private void registerGauge(final String name, final DoubleSupplier value) {
        mRegistry.gauge(name, value, DoubleSupplier::getAsDouble);
    }

    private Counter counter(
            final Metric metric, final String firstTagValue, final String secondTagValue) {
        final CounterKey key = new CounterKey(metric, firstTagValue, secondTagValue);
        final Counter known = mCounters.get(key);
        if (known != null) {
            return known;
        }
        final Counter added = new Counter();
        mCounters.put(key, added);
        if (mRegistry != null) {
            register(key, added);
        }
        return added;
    }

    private void register(final CounterKey key, final Counter counter) {
        mRegistry.more().counter(key.metric().metricName(), key.tags(), counter, Counter::total);
    }

    private static final class TaggedGauge {
        private final String mName;
        private final List<String> mTags;
        private final Supplier<? extends Map<List<String>, ? extends Number>> mValues;
        private MultiGauge mRegistered;

        private TaggedGauge(
                final String name,
                final List<String> tags,
                final Supplier<? extends Map<List<String>, ? extends Number>> values) {
            mName = name;
            mTags = tags;
            mValues = values;
        }

        private Tags tags(final List<String> values) {
            Tags tags = Tags.empty();
            for (int index = 0; index < mTags.size(); index++) {
                tags = tags.and(mTags.get(index), values.get(index));
            }
            return tags;
        }
    }

    private static final class Counter {
        private long mTotal;

        private void add(final long amount) {
            mTotal += amount;
        }

        private double total() {
            return mTotal;
        }
    }
}
