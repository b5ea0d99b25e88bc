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

/** A small JSON server with transport faults: killed, frozen and slow. */
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
     * Makes a server that doesn't listen yet.
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
     * @param template the path, with places such as <code>{id}</code>
     * @param handler what answers
     * @return this server
     */
    public StandInServer route(
            final String method, final String template, final CallHandler handler) {
        mRoutes.add(method, template, exchange -> receive(exchange, handler));
        return this;
    }

    /** Listens, again on the same port after {@link #kill}. */
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

    /** Cuts every connection and refuses new ones. */
    public void kill() {
        final Undertow stopping = detachServer();
        if (stopping == null) {
            return;
        }
        mConnections.forEach(IoUtils::safeClose);
        // Stopping waits for the server's threads, which may wait for this object's lock to admit a
        // call: with the lock held both would wait for ever.
        stopping.stop();
        mConnections.forEach(IoUtils::safeClose);
        mConnections.clear();
    }

    /**
     * Sets whether connections are accepted but nothing is answered; kept calls go on afterwards.
     */
    public synchronized void freeze(final boolean frozen) {
        mFrozen = frozen;
        if (!frozen) {
            mDeferredCalls.forEach(Runnable::run);
            mDeferredCalls.clear();
        }
    }

    /** Sets how long each call waits before it is handled. */
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
