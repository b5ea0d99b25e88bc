package org.whinhead.gateway.metrics;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.metrics.CounterKey.Metric;
import org.whinhead.serving.route.RouteKind;

/**
 * Counts what became of requests; used on the event loop only.
 *
 * <p>The registry that writes the page is made when the page is first read: setting it up is a
 * twentieth of a start, and a request looks its counters up without building their tags.
 */
public final class RequestMetrics {

    /** Upper bounds of the histogram: from a plain call's work to the longest streams. */
    private static final long[] BUCKET_BOUNDS_MILLIS = {
        10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000
    };

    private static final String INFINITE_BOUND = "+Inf";

    private final Map<CounterKey, Counter> mCounters = new HashMap<>();
    private PrometheusMeterRegistry mRegistry;

    /**
     * Counts a request that was not sent anywhere.
     *
     * @param reason why
     */
    public void recordRefused(final String reason) {
        counter(Metric.REFUSED, reason, "").add(1);
    }

    /**
     * Counts what a customer was admitted with. Summed over all daemons, the growth within a window
     * is what the customer's allowance bounds.
     *
     * @param customer the customer's name
     * @param tokens what the request costs
     */
    public void recordAdmitted(final String customer, final long tokens) {
        counter(Metric.TOKENS_ADMITTED, customer, "").add(tokens);
    }

    /**
     * Counts a send without an answer.
     *
     * @param verdict whether it may have run
     * @param reason why there is no answer
     */
    public void recordFailedAttempt(final Verdict verdict, final String reason) {
        counter(Metric.ATTEMPT_FAILED, verdict.wireName(), reason).add(1);
    }

    /**
     * Counts a run that was moved, or should have been.
     *
     * @param answered whether its endpoint answered
     */
    public void recordMoved(final boolean answered) {
        counter(Metric.MOVED, String.valueOf(answered), "").add(1);
    }

    /**
     * Counts a request that has ended.
     *
     * @param kind its route's kind
     * @param outcome how it ended
     * @param taken how long it took
     */
    public void recordFinished(final RouteKind kind, final String outcome, final Duration taken) {
        final String name = kind.name();
        counter(Metric.FINISHED, name, outcome).add(1);
        counter(Metric.TIME_MILLIS, name, "").add(taken.toMillis());
        for (final long bound : BUCKET_BOUNDS_MILLIS) {
            if (taken.toMillis() <= bound) {
                counter(Metric.TIME_WITHIN, name, String.valueOf(bound)).add(1);
            }
        }
        counter(Metric.TIME_WITHIN, name, INFINITE_BOUND).add(1);
    }

    /**
     * Writes the page.
     *
     * @return the counts in Prometheus's text form
     */
    public String renderPage() {
        if (mRegistry == null) {
            mRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            mCounters.forEach(this::register);
        }
        return mRegistry.scrape();
    }

    private Counter counter(final Metric metric, final String first, final String second) {
        final CounterKey name = new CounterKey(metric, first, second);
        final Counter known = mCounters.get(name);
        if (known != null) {
            return known;
        }
        final Counter added = new Counter();
        mCounters.put(name, added);
        if (mRegistry != null) {
            register(name, added);
        }
        return added;
    }

    private void register(final CounterKey name, final Counter count) {
        mRegistry.more().counter(name.metric().metricName(), name.tags(), count, Counter::total);
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
