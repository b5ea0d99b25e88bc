package org.whinhead.clients.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSinkChannel;

/** Writes one request body as the channel takes it. */
final class BodyWriter {

    private final StreamSinkChannel mChannel;
    private final ByteBuffer mBody;
    private final Consumer<IOException> mFailureHandler;
    private boolean mIsShutDown;
    private boolean mIsDone;

    BodyWriter(
            final StreamSinkChannel channel,
            final byte[] body,
            final Consumer<IOException> failed) {
        mChannel = channel;
        mBody = ByteBuffer.wrap(body);
        mFailureHandler = failed;
    }

    /** Tells whether the whole body has been sent. */
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

    /** Returns whether all was written and flushed. */
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
