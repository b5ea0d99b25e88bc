package org.whinhead.faults.world;

import org.whinhead.api.request.RequestId;
import org.whinhead.requests.AttemptEvent;

/** The stream of one answer at an engine, which can send its tokens again to a new reader. */
final class FakeStream {

    private final String mId;
    private final FakeWorld mWorld;
    private final RequestId mRequest;
    private final long mFirstIndex;
    private final long mLength;
    private long mGenerated;
    private FakeAttemptConnection mReader;

    FakeStream(
            final FakeWorld world,
            final String id,
            final RequestId request,
            final long firstIndex,
            final long generated) {
        mWorld = world;
        mId = id;
        mRequest = request;
        mFirstIndex = firstIndex;
        mGenerated = generated;
        mLength = world.caller(request).length();
    }

    String id() {
        return mId;
    }

    FakeAttemptConnection reader() {
        return mReader;
    }

    boolean isFor(final RequestId request) {
        return mRequest.equals(request);
    }

    boolean isDone() {
        return mGenerated >= mLength;
    }

    /** Returns a copy with the same tokens, as an import of the KV cache makes it. */
    FakeStream copyWithId(final String id) {
        return new FakeStream(mWorld, id, mRequest, mFirstIndex, mGenerated);
    }

    void attach(final FakeAttemptConnection reader, final long from) {
        mReader = reader;
        reader.sendOpened(mId);
        for (long index = Math.max(from, mFirstIndex); index < mGenerated; index++) {
            sendToken(index);
        }
        if (isDone()) {
            sendEnd();
        }
    }

    void generateToken() {
        if (isDone()) {
            return;
        }
        mGenerated++;
        sendToken(mGenerated - 1);
        if (isDone()) {
            sendEnd();
        }
    }

    private void sendToken(final long index) {
        if (mReader != null) {
            final String text = FakeWorld.expectedToken(mRequest, index);
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
