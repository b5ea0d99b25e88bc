package org.whinhead.faults.world;

import org.whinhead.api.request.AttemptId;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;

/** A daemon's connection for one attempt; its events may be delayed, duplicated or lost. */
final class FakeAttemptConnection {

    private static final int MAX_DELAY_MILLIS = 8;

    private final FakeWorld mWorld;
    private final FakeDaemon mDaemon;
    private final AttemptId mAttempt;
    private boolean mOpen = true;

    FakeAttemptConnection(final FakeWorld world, final FakeDaemon daemon, final AttemptId attempt) {
        mWorld = world;
        mDaemon = daemon;
        mAttempt = attempt;
    }

    AttemptId attempt() {
        return mAttempt;
    }

    FakeDaemon daemon() {
        return mDaemon;
    }

    boolean isOpen() {
        return mOpen && mDaemon.isAlive();
    }

    void close() {
        mOpen = false;
    }

    void sendOpened(final String streamId) {
        send(new AttemptEvent.Opened(mAttempt, streamId), true);
    }

    void sendFailure(final AttemptFailure failure) {
        send(new AttemptEvent.Failed(mAttempt, failure, "fake"), false);
    }

    void send(final AttemptEvent event, final boolean mayGetLost) {
        if (mayGetLost && mWorld.isDrawn(mWorld.lossPercent())) {
            return;
        }
        final int copies = mWorld.isDrawn(mWorld.lossPercent()) ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            final int delay = 1 + mWorld.random().nextInt(MAX_DELAY_MILLIS);
            mWorld.clock().schedule(delay, () -> mDaemon.onAttemptEvent(event));
        }
    }
}
