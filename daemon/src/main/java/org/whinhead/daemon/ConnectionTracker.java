package org.whinhead.daemon;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;

/**
 * Tracks a server's connections, which outlive its listeners on shared IO threads.
 *
 * <p>Guards against a client that keeps its connection to a stopped daemon: the client's next
 * request would wait forever, because the daemon no longer makes decisions. While the daemon stops,
 * each answer ends its connection; {@link #close} closes the rest.
 */
final class ConnectionTracker {

    private final Set<ServerConnection> mOpen = ConcurrentHashMap.newKeySet();
    private final BooleanSupplier mStopping;

    ConnectionTracker(final BooleanSupplier stopping) {
        mStopping = stopping;
    }

    /** Returns a handler that tracks the connection and calls the next handler. */
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
        // The stop may begin between the request and its answer.
        exchange.addResponseCommitListener(this::endConnectionIfStopping);
    }

    private void endConnectionIfStopping(final HttpServerExchange exchange) {
        if (mStopping.getAsBoolean()) {
            exchange.setPersistent(false);
        }
    }
}
