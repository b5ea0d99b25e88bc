package org.whinhead.faults.world;

import java.util.ArrayList;
import java.util.List;

/** One connection of a caller at one daemon; a whole answer is buffered until it is complete. */
final class FakeConnection {

    private final FakeCaller mCaller;
    private final List<String> mBuffer = new ArrayList<>();
    private long mNext;

    FakeConnection(final FakeCaller caller, final long next) {
        mCaller = caller;
        mNext = next;
        caller.connected(this);
    }

    FakeCaller caller() {
        return mCaller;
    }

    /** Tells whether the caller still listens here. */
    boolean isCurrent() {
        return mCaller.listensAt(this);
    }

    void token(final long index, final String text) {
        if (index != mNext) {
            throw new AssertionError(
                    "token " + index + " in place of " + mNext + " for " + mCaller.id());
        }
        mNext++;
        if (mCaller.spec().streamed() && isCurrent()) {
            mCaller.take(text);
        } else {
            mBuffer.add(text);
        }
    }

    void complete() {
        if (isCurrent()) {
            mBuffer.forEach(mCaller::take);
            mCaller.whole();
        }
    }
}
