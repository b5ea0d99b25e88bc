package org.whinhead.daemon.log;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.whinhead.daemon.ring.EventRing;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** A thread that runs tasks from a bounded ring in order and passes each the current time. */
final class TimedTaskLoop implements AutoCloseable {

    private static final long RETRY_MILLIS = 5;

    private final EventRing<TimedTask> mRing;
    private final XnioIoThread mTimer;
    private final InstantSource mClock;
    private final TimedTask mAfterBatch;
    private XnioExecutor.Key mTicks;
    private volatile boolean mClosed;

    /**
     * Creates a loop that is not started yet.
     *
     * @param name the thread's name
     * @param slots the number of slots of the ring, a power of two
     * @param timer the IO thread that schedules ticks and retries
     * @param clock the source of the time that tasks receive
     * @param afterBatch the task to run at the end of each batch, at least once per tick
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

    /** Offers a task that starts new work; false if the ring is nearly full or the loop closed. */
    boolean offerNew(final TimedTask task) {
        return !mClosed && mRing.offerNew(task);
    }

    /**
     * Adds a task that other work waits for, such as the result of a read.
     *
     * <p>Guards against a full ring, which would lose the result and end the reading of its stream
     * for good: the task is offered again until the ring has room.
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
