package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpClient;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.LongSupplier;

/**
 * What all calls of a run share.
 *
 * @param client the client
 * @param mapper the JSON library
 * @param timers runs what is due later
 * @param nanos the time in nanoseconds, from any origin
 * @param config how callers behave
 * @param observer is told what callers see
 */
record CallContext(
        HttpClient client,
        ObjectMapper mapper,
        ScheduledExecutorService timers,
        LongSupplier nanoClock,
        CallerConfig config,
        CallObserver observer) {

    /** Checks every part. */
    CallContext {
        Objects.requireNonNull(client, "client");
        Objects.requireNonNull(mapper, "mapper");
        Objects.requireNonNull(timers, "timers");
        Objects.requireNonNull(nanoClock, "nanos");
        Objects.requireNonNull(config, "config");
        Objects.requireNonNull(observer, "observer");
    }
}
