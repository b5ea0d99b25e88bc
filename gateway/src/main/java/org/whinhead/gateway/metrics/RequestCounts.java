package org.whinhead.gateway.metrics;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.metrics.CountName.Metric;
import org.whinhead.serving.route.RouteKind;

/**
 * Counts what became of requests; used on the event loop only.
 *
 * <p>The registry that writes the page is made when the page is first read: setting it up is a
 * twentieth of a start, and a request looks its counters up without building their tags.
 */
public final class RequestCounts {

    /** Upper bounds of the histogram: from a plain call's work to the longest streams. */
    private static final long[] BOUND_MILLIS = {
        10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000
    };

    private static final String NO_BOUND = "+Inf";

    private final Map<CountName, Count> mCounts = new HashMap<>();
    private PrometheusMeterRegistry mRegistry;

    /**
     * Counts a request that was not sent anywhere.
     *
     * @param reason why
     */
    public void refused(final String reason) {
        count(Metric.REFUSED, reason, "").add(1);
    }

    /**
     * Counts what a customer was admitted with. Summed over all daemons, the growth within a window
     * is what the customer's allowance bounds.
     *
     * @param customer the customer's name
     * @param tokens what the request costs
     */
    public void admitted(final String customer, final long tokens) {
        count(Metric.TOKENS_ADMITTED, customer, "").add(tokens);
    }

    /**
     * Counts a send without an answer.
     *
     * @param verdict whether it may have run
     * @param reason why there is no answer
     */
    public void attemptFailed(final Verdict verdict, final String reason) {
        count(Metric.ATTEMPT_FAILED, verdict.wireName(), reason).add(1);
    }

    /**
     * Counts a run that was moved, or should have been.
     *
     * @param answered whether its endpoint answered
     */
    public void moved(final boolean answered) {
        count(Metric.MOVED, String.valueOf(answered), "").add(1);
    }

    /**
     * Counts a request that has ended.
     *
     * @param kind its route's kind
     * @param outcome how it ended
     * @param taken how long it took
     */
    public void finished(final RouteKind kind, final String outcome, final Duration taken) {
        final String name = kind.name();
        count(Metric.FINISHED, name, outcome).add(1);
        count(Metric.TIME_MILLIS, name, "").add(taken.toMillis());
        for (final long bound : BOUND_MILLIS) {
            if (taken.toMillis() <= bound) {
                count(Metric.TIME_WITHIN, name, String.valueOf(bound)).add(1);
            }
        }
        count(Metric.TIME_WITHIN, name, NO_BOUND).add(1);
    }

    /**
     * Writes the page.
     *
     * @return the counts in Prometheus's text form
     */
    public String page() {
        if (mRegistry == null) {
            mRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            mCounts.forEach(this::register);
        }
        return mRegistry.scrape();
    }

    private Count count(final Metric metric, final String first, final String second) {
        final CountName name = new CountName(metric, first, second);
        final Count known = mCounts.get(name);
        if (known != null) {
            return known;
        }
        final Count added = new Count();
        mCounts.put(name, added);
        if (mRegistry != null) {
            register(name, added);
        }
        return added;
    }

    private void register(final CountName name, final Count count) {
        mRegistry.more().counter(name.metric().metricName(), name.tags(), count, Count::total);
    }

    private static final class Count {
        private long mTotal;

        private void add(final long amount) {
            mTotal += amount;
        }

        private double total() {
            return mTotal;
        }
    }
}
