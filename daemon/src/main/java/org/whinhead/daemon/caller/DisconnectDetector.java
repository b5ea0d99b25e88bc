package org.whinhead.daemon.caller;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closed its connection while its request is worked on.
 *
 * <p>The server reads nothing from a connection whose request was read whole until the response has
 * ended, so it would not see the caller hang up before a write fails, and the engine would go on
 * generating for nobody. The watch reads in the meantime: the end of input is a hang-up; bytes of a
 * pipelined request are kept for the server, and reading stops. When the exchange ends the server
 * sets its own listener again.
 */
final class DisconnectDetector {

    private final AbstractServerConnection mConnection;
    private final Runnable mOnDisconnect;

    private DisconnectDetector(final AbstractServerConnection connection, final Runnable left) {
        mConnection = connection;
        mOnDisconnect = left;
    }

    /** Starts to watch; on the connection's IO thread, when the request was read whole. */
    static void start(final HttpServerExchange exchange, final Runnable left) {
        if (exchange.getConnection() instanceof AbstractServerConnection connection
                && connection.getExtraBytes() == null) {
            new DisconnectDetector(connection, left).listenForReads();
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
