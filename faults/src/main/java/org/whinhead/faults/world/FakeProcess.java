package org.whinhead.faults.world;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/** A process that handles events one after the other and may pause or die. */
final class FakeProcess {

    private final FakeClock mClock;
    private final Deque<Consumer<Instant>> mInbox = new ArrayDeque<>();
    private Instant mPausedUntil = Instant.MIN;
    private boolean mAlive = true;
    private boolean mDraining;

    FakeProcess(final FakeClock time) {
        mClock = time;
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

    /** Handles an event now, or after a pause, in order and with the time of then. */
    void post(final Consumer<Instant> work) {
        mInbox.add(work);
        drain();
    }

    /** Handles an event again and again. */
    void scheduleEvery(final long millis, final Consumer<Instant> work) {
        post(work);
        if (mAlive) {
            mClock.schedule(millis, () -> scheduleEvery(millis, work));
        }
    }

    /** Sends something out after a delay; a pause holds back what has not left yet. */
    void send(final long delayMillis, final Runnable work) {
        mClock.schedule(delayMillis, () -> sendNow(work));
    }

    private void sendNow(final Runnable work) {
        if (isPaused()) {
            mInbox.add(now -> work.run());
        } else if (mAlive) {
            work.run();
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
