package org.whinhead.clients.http;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.xnio.IoUtils;

/** Pools the idle connections of one IO thread by authority; used on that thread only. */
final class ConnectionPool {

    private static final int MAX_IDLE_PER_AUTHORITY = 64;

    private final Map<String, Deque<ClientConnection>> mIdle = new HashMap<>();
    private boolean mClosed;

    /** Returns the last used connection, so that surplus ones stay idle and can be dropped. */
    ClientConnection acquire(final String authority) {
        final Deque<ClientConnection> idle = mIdle.get(authority);
        if (idle == null) {
            return null;
        }
        ClientConnection connection = idle.pollLast();
        while (connection != null && !connection.isOpen()) {
            connection = idle.pollLast();
        }
        if (idle.isEmpty()) {
            mIdle.remove(authority);
        }
        return connection;
    }

    void release(final String authority, final ClientConnection connection) {
        final Deque<ClientConnection> idle =
                mIdle.computeIfAbsent(authority, ignored -> new ArrayDeque<>());
        if (mClosed || !connection.isOpen() || idle.size() >= MAX_IDLE_PER_AUTHORITY) {
            IoUtils.safeClose(connection);
            return;
        }
        idle.addLast(connection);
    }

    void close() {
        mClosed = true;
        mIdle.values().forEach(idle -> idle.forEach(IoUtils::safeClose));
        mIdle.clear();
    }
}
