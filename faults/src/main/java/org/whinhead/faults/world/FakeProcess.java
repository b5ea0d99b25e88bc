package org.whinhead.faults.world;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** A process that handles events one at a time and can be paused or crashed. */
final class FakeProcess {

    private final FakeClock mClock;
    private final Deque<Consumer<Instant>> mInbox = new ArrayDeque<>();
    private Instant mPausedUntil = Instant.MIN;
    private boolean mAlive = true;
    private boolean mDraining;

    FakeProcess(final FakeClock clock) {
        mClock = clock;
    }

    boolean isAlive() {
        return mAlive;
    }

    Instant pausedUntil() {
        return mPausedUntil;
    }

    void crash() {
        mAlive = false;
    }

    void pause(final long millis) {
        mPausedUntil = mClock.now().plusMillis(millis);
        mClock.schedule(millis, this::drain);
    }

    /** Handles an event now or, after a pause, in order of arrival; passes the time of handling. */
    void post(final Consumer<Instant> event) {
        mInbox.add(event);
        drain();
    }

    /** Handles an event at once and then periodically until a crash. */
    void scheduleEvery(final long millis, final Consumer<Instant> event) {
        post(event);
        if (mAlive) {
            mClock.schedule(millis, () -> scheduleEvery(millis, event));
        }
    }

    /** Sends after a delay; a send that falls into a pause waits for its end. */
    void send(final long delayMillis, final Runnable event) {
        mClock.schedule(delayMillis, () -> sendNow(event));
    }

    private void sendNow(final Runnable event) {
        if (isPaused()) {
            mInbox.add(now -> event.run());
        } else if (mAlive) {
            event.run();
        }
    }

    private boolean isPaused() {
        return mClock.now().isBefore(mPausedUntil);
    }

    private void drain() {
        if (mDraining) {
            return;
        }
        mDraining = true;
        while (mAlive && !isPaused() && !mInbox.isEmpty()) {
            mInbox.remove().accept(mClock.now());
        }
        mDraining = false;
    }
}
