package org.whinhead.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Detects that a caller closes its connection while its request is in progress.
 *
 * <p>The server does not read from a connection between the end of the request and the end of the
 * response, so it would notice a disconnect only when a write fails, and the engine would generate
 * in vain. The detector reads in the meantime: the end of input is a disconnect; bytes of a
 * pipelined request are stored for the server, and reading stops. The server sets its own listener
 * again when the exchange ends.
 */
final class DisconnectDetector {

    private final AbstractServerConnection mConnection;
    private final Runnable mOnDisconnect;

    private DisconnectDetector(
            final AbstractServerConnection connection, final Runnable onDisconnect) {
        mConnection = connection;
        mOnDisconnect = onDisconnect;
    }

    /** Starts reading; called on the connection's IO thread after the whole request was read. */
    static void start(final HttpServerExchange exchange, final Runnable onDisconnect) {
        if (exchange.getConnection() instanceof AbstractServerConnection connection
                && connection.getExtraBytes() == null) {
            new DisconnectDetector(connection, onDisconnect).listenForReads();
        }
    }

    private void listenForReads() {
        final StreamSourceConduit source = mConnection.getOriginalSourceConduit();
        mConnection.getChannel().getSourceChannel().setReadListener(ignored -> read());
        source.resumeReads();
    }

    private void read() {
        final StreamSourceConduit source = mConnection.getOriginalSourceConduit();
        final PooledByteBuffer pooled = mConnection.getByteBufferPool().allocate();
        try {
            final int count = source.read(pooled.getBuffer());
            if (count > 0) {
                pooled.getBuffer().flip();
                mConnection.setExtraBytes(pooled);
                source.suspendReads();
                return;
            }
            pooled.close();
            if (count < 0) {
                source.suspendReads();
                mOnDisconnect.run();
            }
        } catch (final IOException e) {
            pooled.close();
            mOnDisconnect.run();
        }
    }
}
