package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpClient;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/**
 * The dependencies that all calls of a run share.
 *
 * @param client the HTTP client
 * @param mapper parses and writes JSON
 * @param timers runs delayed tasks
 * @param nanoClock the clock, in nanoseconds from any origin
 * @param config addresses and time limits
 * @param observer receives measurements and results
 */
record CallContext(
        HttpClient client,
        ObjectMapper mapper,
        ScheduledExecutorService timers,
        LongSupplier nanoClock,
        CallerConfig config,
        CallObserver observer) {

    /** Checks that no component is null. */
    CallContext {
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(mapper, "mapper");
        Objects.requireNonNull(timers, "timers");
        Objects.requireNonNull(nanoClock, "nanos");
        Objects.requireNonNull(config, "config");
        Objects.requireNonNull(observer, "observer");
    }
}
