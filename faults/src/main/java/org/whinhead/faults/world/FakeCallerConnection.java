package org.whinhead.faults.world;

import java.util.ArrayList;
import java.util.List;

/** A caller's connection to one daemon; buffers an answer that is not streamed. */
final class FakeCallerConnection {

    private final FakeCaller mCaller;
    private final List<String> mBuffer = new ArrayList<>();
    private long mNextIndex;

    FakeCallerConnection(final FakeCaller caller, final long next) {
        mCaller = caller;
        mNextIndex = next;
        caller.onConnected(this);
    }

    FakeCaller caller() {
        return mCaller;
    }

    /** Returns whether the caller still uses this connection. */
    boolean isCurrent() {
        return mCaller.isCurrentConnection(this);
    }

    void deliver(final long index, final String text) {
        if (index != mNextIndex) {
            throw new AssertionError(
                    "token " + index + " instead of " + mNextIndex + " for " + mCaller.id());
        }
        mNextIndex++;
        if (mCaller.spec().streamed() && isCurrent()) {
            mCaller.receiveToken(text);
        } else {
            mBuffer.add(text);
        }
    }

    void complete() {
        if (isCurrent()) {
            mBuffer.forEach(mCaller::receiveToken);
            mCaller.onComplete();
        }
    }
}
