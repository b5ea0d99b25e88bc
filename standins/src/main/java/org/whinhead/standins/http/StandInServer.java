package org.whinhead.standins.http;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.ServerConnection;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.xnio.IoUtils;

/** An HTTP server with JSON bodies and the transport faults kill, freeze and delay. */
public final class StandInServer implements AutoCloseable {

    private static final Set<String> CONTROL_PATHS = Set.of("/faults", "/witness");

    private final String mHost;
    private final RoutingHandler mRoutes = new RoutingHandler();
    private final Set<ServerConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final List<Runnable> mDeferredCalls = new ArrayList<>();
    private Undertow mUndertow;
    private int mPort;
    private boolean mFrozen;
    private Duration mDelay = Duration.ZERO;

    /**
     * Creates a server that isn't listening yet.
     *
     * @param host the address to listen on
     * @param port the port, or 0 for a free one
     */
    public StandInServer(final String host, final int port) {
        mHost = host;
        mPort = port;
    }

    /**
     * Adds a route.
     *
     * @param method the HTTP method
     * @param template the path, with parameters such as <code>{id}</code>
     * @param handler the handler of the route's calls
     * @return this server
     */
    public StandInServer route(
            final String method, final String template, final CallHandler handler) {
        mRoutes.add(method, template, exchange -> receive(exchange, handler));
        return this;
    }

    /** Starts to listen; after {@link #kill}, on the same port as before. */
    public synchronized void start() {
        if (mUndertow != null) {
            return;
        }
        mUndertow =
                Undertow.builder()
                        .addHttpListener(mPort, mHost)
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setHandler(mRoutes)
                        .build();
        mUndertow.start();
        final InetSocketAddress address =
                (InetSocketAddress) mUndertow.getListenerInfo().get(0).getAddress();
        mPort = address.getPort();
    }

    /** Closes all connections and refuses new ones. */
    public void kill() {
        final Undertow stopping = detachServer();
        if (stopping == null) {
            return;
        }
        mConnections.forEach(IoUtils::safeClose);
        // Stopping waits for the server's threads, which may wait for this object's lock to
        // dispatch a call: stopping with the lock held would deadlock.
        stopping.stop();
        mConnections.forEach(IoUtils::safeClose);
        mConnections.clear();
    }

    /** Sets whether calls are accepted but deferred; the end of the freeze runs deferred calls. */
    public synchronized void freeze(final boolean frozen) {
        mFrozen = frozen;
        if (!frozen) {
            mDeferredCalls.forEach(Runnable::run);
            mDeferredCalls.clear();
        }
    }

    /** Sets the delay before each call is handled. */
    public synchronized void setDelay(final Duration delay) {
        mDelay = delay;
    }

    /** Returns the base address. */
    public synchronized URI uri() {
        return URI.create("http://" + mHost + ":" + mPort);
    }

    @Override
    public void close() {
        kill();
    }

    private void receive(final HttpServerExchange exchange, final CallHandler handler) {
        final ServerConnection connection = exchange.getConnection();
        if (mConnections.add(connection)) {
            connection.addCloseListener(mConnections::remove);
        }
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (ready, body) ->
                                ready.dispatch(
                                        SameThreadExecutor.INSTANCE,
                                        () -> dispatch(new StandInCall(ready, body), handler)));
    }

    private synchronized Undertow detachServer() {
        final Undertow running = mUndertow;
        mUndertow = null;
        mDeferredCalls.clear();
        return running;
    }

    private void dispatch(final StandInCall call, final CallHandler handler) {
        if (CONTROL_PATHS.contains(call.path())) {
            run(call, handler);
            return;
        }
        final Duration delay;
        synchronized (this) {
            if (mFrozen) {
                mDeferredCalls.add(() -> call.runAfter(Duration.ZERO, () -> run(call, handler)));
                return;
            }
            delay = mDelay;
        }
        if (delay.isZero()) {
            run(call, handler);
        } else {
            call.runAfter(delay, () -> run(call, handler));
        }
    }

    private static void run(final StandInCall call, final CallHandler handler) {
        try {
            handler.handle(call);
        } catch (final IOException | IllegalArgumentException e) {
            call.fail(400, String.valueOf(e.getMessage()));
        }
    }
}
