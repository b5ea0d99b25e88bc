package org.whinhead.clients.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/** Reads one response body as it arrives. */
final class ResponseReader {

    /** Takes what was read. */
    interface Sink {
        /** Takes bytes; returns whether reading goes on. */
        boolean onBytes(ByteBuffer bytes);

        /** Takes the end of the body. */
        void onEnd();

        /** Takes a broken connection. */
        void onDisconnect(IOException cause);
    }

    private final StreamSourceChannel mChannel;
    private final ByteBufferPool mBuffers;
    private final Sink mSink;
    private boolean mHasReadListener;

    ResponseReader(
            final StreamSourceChannel channel, final ByteBufferPool buffers, final Sink sink) {
        mChannel = channel;
        mBuffers = buffers;
        mSink = sink;
    }

    void suspend() {
        mChannel.suspendReads();
    }

    /** Reads until nothing more is there, then waits for the channel. */
    void read() {
        try (PooledByteBuffer pooled = mBuffers.allocate()) {
            final ByteBuffer buffer = pooled.getBuffer();
            for (; ; ) {
                buffer.clear();
                final int count = mChannel.read(buffer);
                if (count < 0) {
                    mSink.onEnd();
                    return;
                }
                if (count == 0) {
                    awaitBytes();
                    return;
                }
                buffer.flip();
                if (!mSink.onBytes(buffer)) {
                    mChannel.suspendReads();
                    return;
                }
            }
        } catch (final IOException e) {
            mSink.onDisconnect(e);
        }
    }

    private void awaitBytes() {
        if (!mHasReadListener) {
            mHasReadListener = true;
            mChannel.getReadSetter().set(ignored -> read());
        }
        mChannel.resumeReads();
    }
}
