package org.whinhead.daemon.operator;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.Supplier;

/** The registry of the daemon's metrics. */
public final class Meters {

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Registers a gauge whose value is read at each scrape.
     *
     * @param name the metric's name, beginning with {@code whinhead.}
     * @param unit the unit of the value
     * @param description the description for operators
     * @param value the supplier of the value, called from any thread
     */
    public void gauge(
            final String name,
            final String unit,
            final String description,
            final Supplier<Number> value) {
        Gauge.builder(name, value).baseUnit(unit).description(description).register(mRegistry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String text() {
        return mRegistry.scrape();
    }
}
