package org.whinhead.clients.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSinkChannel;

/** Writes one request body to a non-blocking channel. */
final class BodyWriter {

    private final StreamSinkChannel mChannel;
    private final ByteBuffer mBody;
    private final Consumer<IOException> mFailureHandler;
    private boolean mIsShutDown;
    private boolean mIsDone;

    BodyWriter(
            final StreamSinkChannel channel,
            final byte[] body,
            final Consumer<IOException> failureHandler) {
        mChannel = channel;
        mBody = ByteBuffer.wrap(body);
        mFailureHandler = failureHandler;
    }

    /** Returns whether the whole body has been written and flushed. */
    boolean isDone() {
        return mIsDone;
    }

    void write() {
        try {
            if (!writeSome()) {
                mChannel.getWriteSetter().set(ignored -> write());
                mChannel.resumeWrites();
                return;
            }
            mIsDone = true;
            mChannel.getWriteSetter().set(null);
            mChannel.suspendWrites();
        } catch (final IOException e) {
            mFailureHandler.accept(e);
        }
    }

    /** Writes as much as possible; returns whether the whole body was written and flushed. */
    private boolean writeSome() throws IOException {
        while (mBody.hasRemaining()) {
            if (mChannel.write(mBody) == 0) {
                return false;
            }
        }
        if (!mIsShutDown) {
            mChannel.shutdownWrites();
            mIsShutDown = true;
        }
        return mChannel.flush();
    }
}
