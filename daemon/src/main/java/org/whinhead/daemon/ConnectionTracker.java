package org.whinhead.daemon;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;

/**
 * Keeps track of a server's connections, which outlive its listeners on shared IO threads.
 *
 * <p>Guards against a client that keeps its connection to a stopped daemon: its next request would
 * reach a daemon that decides nothing any more and wait there for ever. While the daemon stops,
 * each answer ends its connection; at the end those left are closed.
 */
final class ConnectionTracker {

    private final Set<ServerConnection> mOpen = ConcurrentHashMap.newKeySet();
    private final BooleanSupplier mStopping;

    ConnectionTracker(final BooleanSupplier stopping) {
        mStopping = stopping;
    }

    /** Returns a handler that notes the connection before the given one. */
    HttpHandler tracking(final HttpHandler next) {
        return exchange -> {
            track(exchange);
            next.handleRequest(exchange);
        };
    }

    void close() {
        mOpen.forEach(IoUtils::safeClose);
        mOpen.clear();
    }

    private void track(final HttpServerExchange exchange) {
        final ServerConnection connection = exchange.getConnection();
        if (mOpen.add(connection)) {
            connection.addCloseListener(mOpen::remove);
        }
        if (mStopping.getAsBoolean()) {
            exchange.setPersistent(false);
        }
    }
}
