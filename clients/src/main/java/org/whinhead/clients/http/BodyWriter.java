package org.whinhead.clients.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSinkChannel;

/** Writes one request body as the channel takes it. */
final class BodyWriter {

    private final StreamSinkChannel mChannel;
    private final ByteBuffer mBody;
    private final Consumer<IOException> mFailed;
    private boolean mShutDown;
    private boolean mDone;

    BodyWriter(
            final StreamSinkChannel channel,
            final byte[] body,
            final Consumer<IOException> failed) {
        mChannel = channel;
        mBody = ByteBuffer.wrap(body);
        mFailed = failed;
    }

    /** Tells whether the whole body has been sent. */
    boolean isDone() {
        return mDone;
    }

    void write() {
        try {
            if (!writeSome()) {
                mChannel.getWriteSetter().set(ignored -> write());
                mChannel.resumeWrites();
                return;
            }
            mDone = true;
            mChannel.getWriteSetter().set(null);
            mChannel.suspendWrites();
        } catch (final IOException e) {
            mFailed.accept(e);
        }
    }

    /** Returns whether all was written and flushed. */
    private boolean writeSome() throws IOException {
        while (mBody.hasRemaining()) {
            if (mChannel.write(mBody) == 0) {
                return false;
            }
        }
        if (!mShutDown) {
            mChannel.shutdownWrites();
            mShutDown = true;
        }
        return mChannel.flush();
    }
}
