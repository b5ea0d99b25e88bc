package org.whinhead.standins.weights;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.fault.FaultHandler;
import org.whinhead.standins.http.StandInCall;
import org.whinhead.standins.http.StandInServer;

/** Serves a {@link WeightStoreSimulation} over the store's HTTP protocol. */
public final class WeightStoreStandIn implements AutoCloseable {

    private final StandInContext mContext;
    private final StandInServer mServer;
    private final WeightStoreSimulation mSimulation;

    private WeightStoreStandIn(
            final StandInServer server,
            final WeightStoreSimulation simulation,
            final StandInContext context) {
        mContext = context;
        mServer = server;
        mSimulation = simulation;
        server.route("GET", "/weights/{name}/{version}", this::load)
                .route("POST", "/faults", new FaultHandler(server));
    }

    /**
     * Starts a weight store server.
     *
     * @param port the port, or 0 for a free one
     * @param simulation the store's load queue
     * @param context the clock and counters shared in the process
     * @return the listening store
     */
    public static WeightStoreStandIn start(
            final int port, final WeightStoreSimulation simulation, final StandInContext context) {
        final StandInServer server = new StandInServer("127.0.0.1", port);
        final WeightStoreStandIn store = new WeightStoreStandIn(server, simulation, context);
        server.start();
        return store;
    }

    /** Returns the base address. */
    public URI uri() {
        return mServer.uri();
    }

    @Override
    public void close() {
        mServer.close();
    }

    private synchronized void load(final StandInCall call) {
        final Instant now = mContext.ticker().now();
        final Optional<Instant> done = mSimulation.load(now);
        if (done.isEmpty()) {
            call.withHeader("Retry-After", "1").fail(429, "too many loads wait");
            return;
        }
        call.runAfter(
                Duration.between(now, done.get()),
                () -> call.reply(200, StandInCall.object().put("bytes", mSimulation.bytes())));
    }
}
