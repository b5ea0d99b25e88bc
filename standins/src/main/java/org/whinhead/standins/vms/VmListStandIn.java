package org.whinhead.standins.vms;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Duration;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.fault.FaultHandler;
import org.whinhead.standins.http.StandInCall;
import org.whinhead.standins.http.StandInServer;

/** Serves a {@link VmListSimulation} over the list's HTTP protocol. */
public final class VmListStandIn implements AutoCloseable {

    private final StandInContext mContext;
    private final StandInServer mServer;
    private final VmListSimulation mSimulation;

    private VmListStandIn(
            final StandInServer server,
            final VmListSimulation simulation,
            final StandInContext context) {
        mContext = context;
        mServer = server;
        mSimulation = simulation;
        final FaultHandler faults =
                new FaultHandler(server)
                        .addFault("freeze", body -> freeze(true))
                        .addFault("unfreeze", body -> freeze(false));
        server.route("GET", "/vms", this::list).route("POST", "/faults", faults);
    }

    /**
     * Starts a VM list server.
     *
     * @param port the port, or 0 for a free one
     * @param lag the age of the returned snapshot
     * @param context the clock and counters shared in the process
     * @return the listening VM list
     */
    public static VmListStandIn start(
            final int port, final Duration lag, final StandInContext context) {
        final StandInServer server = new StandInServer("127.0.0.1", port);
        final VmListStandIn list = new VmListStandIn(server, new VmListSimulation(lag), context);
        server.start();
        return list;
    }

    /** Returns the base address. */
    public URI uri() {
        return mServer.uri();
    }

    /** Adds a VM without a lag, and deletes the history of the list. */
    public synchronized void seed(final VmEntry vm) {
        mSimulation.seed(vm);
    }

    /** Adds or replaces a VM. */
    public synchronized void put(final VmEntry vm) {
        mSimulation.put(vm, mContext.ticker().now());
    }

    /** Marks a VM as leaving; ignores an unknown one. */
    public synchronized void markLeaving(final String id) {
        mSimulation.markLeaving(id, mContext.ticker().now());
    }

    /** Removes a VM. */
    public synchronized void remove(final String id) {
        mSimulation.remove(id, mContext.ticker().now());
    }

    /** Fault: sets whether the returned list stops changing. */
    public synchronized void freeze(final boolean frozen) {
        mSimulation.freeze(frozen, mContext.ticker().now());
    }

    @Override
    public void close() {
        mServer.close();
    }

    private synchronized void list(final StandInCall call) {
        final VmListSimulation.Snapshot shown = mSimulation.list(mContext.ticker().now());
        final ObjectNode root = StandInCall.object().put("asOf", shown.asOf().toString());
        final ArrayNode vms = root.putArray("vms");
        shown.vms().forEach(vm -> vms.add(vm.toJson()));
        call.reply(200, root);
    }
}
