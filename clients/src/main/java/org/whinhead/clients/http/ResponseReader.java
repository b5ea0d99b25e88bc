package org.whinhead.clients.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/** Reads one response body from a non-blocking channel. */
final class ResponseReader {

    /** Receives the bytes and the end of a response body. */
    interface Sink {
        /** Receives bytes; returns whether to continue reading. */
        boolean onBytes(ByteBuffer bytes);

        /** Called at the end of the body. */
        void onEnd();

        /** Called when the connection breaks. */
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

    /** Reads until the channel has no more bytes, then resumes when it is readable again. */
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
