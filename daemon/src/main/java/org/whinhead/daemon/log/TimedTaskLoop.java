package org.whinhead.daemon.log;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.whinhead.daemon.ring.EventRing;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** A duty's thread, fed by a bounded ring. */
final class TimedTaskLoop implements AutoCloseable {

    private static final long RETRY_MILLIS = 5;

    private final EventRing<TimedTask> mRing;
    private final XnioIoThread mTimer;
    private final InstantSource mClock;
    private final TimedTask mAfterBatch;
    private XnioExecutor.Key mTicks;
    private volatile boolean mClosed;

    /**
     * Makes a ring that is not started yet.
     *
     * @param name the thread's name
     * @param slots the ring's size, a power of two
     * @param timer the IO thread that ticks
     * @param clock the time
     * @param afterBatch run when no event waits any more, at each tick at least
     */
    TimedTaskLoop(
            final String name,
            final int slots,
            final XnioIoThread timer,
            final InstantSource clock,
            final TimedTask afterBatch) {
        mTimer = timer;
        mClock = clock;
        mAfterBatch = afterBatch;
        mRing = new EventRing<>(name, slots, this::apply);
    }

    void start(final Duration tick) {
        mRing.start();
        mTicks =
                mTimer.executeAtInterval(
                        () -> mRing.offer(now -> {}), tick.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void apply(final TimedTask task, final boolean endOfBatch) {
        task.run(mClock.instant());
        if (endOfBatch) {
            mAfterBatch.run(mClock.instant());
        }
    }

    /** Offers an event that begins something; false if the ring is nearly full. */
    boolean offerNew(final TimedTask task) {
        return !mClosed && mRing.offerNew(task);
    }

    /**
     * Hands over an event that something waits for, such as the answer to a read.
     *
     * <p>Guards against a full ring, which would otherwise lose the answer and end the reading of
     * its stream for good: the event is offered again until there is room.
     */
    void offerUntilAccepted(final TimedTask task) {
        if (!mClosed && !mRing.offer(task)) {
            mTimer.executeAfter(
                    () -> offerUntilAccepted(task), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mTicks.remove();
        mRing.close();
    }
}
