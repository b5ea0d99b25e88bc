package org.whinhead.faults.world;

import java.util.ArrayList;
import java.util.List;

/** One connection of a caller at one daemon; a whole answer is buffered until it is complete. */
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

    /** Tells whether the caller still listens here. */
    boolean isCurrent() {
        return mCaller.isCurrentConnection(this);
    }

    void deliver(final long index, final String text) {
        if (index != mNextIndex) {
            throw new AssertionError(
                    "token " + index + " in place of " + mNextIndex + " for " + mCaller.id());
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
