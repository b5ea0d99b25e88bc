package org.whinhead.daemon.operator;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.Supplier;

/** The daemon's metrics. */
public final class Meters {

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Adds a metric that is read when it is asked for.
     *
     * @param name the name, beginning with {@code whinhead.}
     * @param unit what it counts in
     * @param description what it tells
     * @param value reads it, from any thread
     */
    public void gauge(
            final String name,
            final String unit,
            final String description,
            final Supplier<Number> value) {
        Gauge.builder(name, value).baseUnit(unit).description(description).register(mRegistry);
    }

    /** Returns all metrics in Prometheus's text form. */
    public String text() {
        return mRegistry.scrape();
    }
}
