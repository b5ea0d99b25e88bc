package org.whinhead.faults.world;

import org.whinhead.api.request.RequestId;
import org.whinhead.requests.AttemptEvent;

/** One answer that an engine generates; it keeps what it has made. */
final class FakeStream {

    private final String mId;
    private final FakeWorld mWorld;
    private final RequestId mRequest;
    private final long mFirst;
    private final long mLength;
    private long mMade;
    private FakeLink mReader;

    FakeStream(
            final FakeWorld world,
            final String id,
            final RequestId request,
            final long first,
            final long made) {
        mWorld = world;
        mId = id;
        mRequest = request;
        mFirst = first;
        mMade = made;
        mLength = world.caller(request).length();
    }

    String id() {
        return mId;
    }

    FakeLink reader() {
        return mReader;
    }

    boolean isFor(final RequestId request) {
        return mRequest.equals(request);
    }

    boolean isDone() {
        return mMade >= mLength;
    }

    /** Copies the stream as an import of its KV cache does. */
    FakeStream movedTo(final String id) {
        return new FakeStream(mWorld, id, mRequest, mFirst, mMade);
    }

    void read(final FakeLink reader, final long from) {
        mReader = reader;
        reader.opened(mId);
        for (long index = Math.max(from, mFirst); index < mMade; index++) {
            sendToken(index);
        }
        if (isDone()) {
            sendEnd();
        }
    }

    void step() {
        if (isDone()) {
            return;
        }
        mMade++;
        sendToken(mMade - 1);
        if (isDone()) {
            sendEnd();
        }
    }

    private void sendToken(final long index) {
        if (mReader != null) {
            final String text = FakeWorld.token(mRequest, index);
            mReader.send(new AttemptEvent.Token(mReader.attempt(), index, text), true);
        }
    }

    private void sendEnd() {
        if (mReader != null) {
            final AttemptEvent end =
                    new AttemptEvent.Finished(mReader.attempt(), "stop", 10, 0, mLength);
            mReader.send(end, true);
        }
    }
}
