package org.whinhead.standins.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.fault.FaultHandler;
import org.whinhead.standins.http.StandInCall;
import org.whinhead.standins.http.StandInServer;

/** Serves a plain service over HTTP; responses echo the call, so that callers can match them. */
public final class ServiceStandIn implements AutoCloseable {

    private final ServiceConfig mConfig;
    private final StandInContext mContext;
    private final StandInServer mServer;
    private final ServiceSimulation mSimulation;

    private ServiceStandIn(final ServiceConfig config, final StandInContext context) {
        mConfig = config;
        mContext = context;
        mServer = new StandInServer(config.host(), config.port());
        mSimulation = new ServiceSimulation(config, context.workCounter());
        mServer.route("POST", "/faults", faults())
                .route("GET", "/witness", call -> call.reply(200, context.workCounter().toJson()))
                .route("POST", "/*", this::run);
    }

    /**
     * Starts a service server.
     *
     * @param config the service's settings
     * @param context the clock and counters shared in the process
     * @return the listening service
     */
    public static ServiceStandIn start(final ServiceConfig config, final StandInContext context) {
        final ServiceStandIn service = new ServiceStandIn(config, context);
        service.mServer.start();
        return service;
    }

    /** Returns the base address. */
    public URI uri() {
        return mServer.uri();
    }

    /** Returns the service's settings. */
    public ServiceConfig config() {
        return mConfig;
    }

    /** Sets the number of next calls that fail with a fault. */
    public synchronized void plan(final ServiceFault fault, final int count) {
        mSimulation.plan(fault, count);
    }

    /** Fault: closes all connections and refuses new ones; calls in progress count as run. */
    public void kill() {
        mServer.kill();
        synchronized (this) {
            mSimulation.kill();
        }
    }

    /** Ends {@link #kill}: listens at the same address again. */
    public void revive() {
        mServer.start();
    }

    /** Fault: while frozen, accepts connections but defers new calls. */
    public void freeze(final boolean frozen) {
        mServer.freeze(frozen);
    }

    @Override
    public void close() {
        mServer.close();
    }

    private FaultHandler faults() {
        final FaultHandler faults =
                new FaultHandler(mServer)
                        .addFaultAfterReply("kill", this::kill)
                        .addFault("freeze", body -> freeze(true))
                        .addFault("unfreeze", body -> freeze(false));
        for (final ServiceFault fault : ServiceFault.values()) {
            faults.addFault(fault.wireName(), body -> plan(fault, body.path("count").asInt(1)));
        }
        return faults;
    }

    private void run(final StandInCall call) throws IOException {
        final String key =
                call.header("Idempotency-Key")
                        .orElseThrow(() -> new IOException("Idempotency-Key is missing"));
        final String request = call.header("X-Request-Id").orElse(key);
        final ServiceFault fault = begin(request, key);
        switch (fault) {
            case REFUSE -> call.withHeader("Retry-After", "1").fail(503, "busy");
            case CUT_BEFORE_RUN -> call.closeConnection();
            default -> call.runAfter(mConfig.latency(), () -> end(call, fault, answer(call, key)));
        }
    }

    private synchronized ServiceFault begin(final String request, final String key) {
        return mSimulation.begin(request, key);
    }

    private ObjectNode answer(final StandInCall call, final String key) {
        return StandInCall.object()
                .put("service", mConfig.name())
                .put("path", call.path())
                .put("idempotencyKey", key)
                .put("execution", mContext.workCounter().executions(key))
                .put("received", new String(call.body(), StandardCharsets.UTF_8));
    }

    private synchronized void end(
            final StandInCall call, final ServiceFault fault, final ObjectNode answer) {
        mSimulation.end();
        switch (fault) {
            case CUT_AFTER_RUN -> call.closeConnection();
            case ERROR_AFTER_RUN -> call.fail(500, "failed after it ran");
            default -> call.reply(200, answer);
        }
    }
}
