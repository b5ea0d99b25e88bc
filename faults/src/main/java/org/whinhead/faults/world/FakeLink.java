package org.whinhead.faults.world;

import org.whinhead.api.request.AttemptId;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;

/** One daemon's connection for one attempt; its events may come late, twice or never. */
final class FakeLink {

    private static final int MAX_DELAY_MILLIS = 8;

    private final FakeWorld mWorld;
    private final FakeDaemon mDaemon;
    private final AttemptId mAttempt;
    private boolean mOpen = true;

    FakeLink(final FakeWorld world, final FakeDaemon daemon, final AttemptId attempt) {
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

    void opened(final String streamId) {
        send(new AttemptEvent.Opened(mAttempt, streamId), true);
    }

    void fail(final AttemptFailure failure) {
        send(new AttemptEvent.Failed(mAttempt, failure, "fake"), false);
    }

    void send(final AttemptEvent event, final boolean mayGetLost) {
        if (mayGetLost && mWorld.chance(mWorld.lossPercent())) {
            return;
        }
        final int copies = mWorld.chance(mWorld.lossPercent()) ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            final int delay = 1 + mWorld.random().nextInt(MAX_DELAY_MILLIS);
            mWorld.time().after(delay, () -> mDaemon.handle(event));
        }
    }
}
