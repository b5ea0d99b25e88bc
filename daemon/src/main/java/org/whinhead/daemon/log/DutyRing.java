package org.whinhead.daemon.log;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** A duty's thread, fed by a bounded ring. */
final class DutyRing implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(DutyRing.class);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);
    private static final long RETRY_MILLIS = 5;

    /** New requests leave this share of the ring to answers that are awaited. */
    private static final int RESERVED_SHARE = 4;

    private final Disruptor<Slot> mDisruptor;
    private final RingBuffer<Slot> mRing;
    private final XnioIoThread mTimer;
    private final InstantSource mClock;
    private final DutyTask mAfterBatch;
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
    DutyRing(
            final String name,
            final int slots,
            final XnioIoThread timer,
            final InstantSource clock,
            final DutyTask afterBatch) {
        mTimer = timer;
        mClock = clock;
        mAfterBatch = afterBatch;
        mDisruptor =
                new Disruptor<>(
                        Slot::new,
                        slots,
                        task -> new Thread(task, name),
                        ProducerType.MULTI,
                        new BlockingWaitStrategy());
        mDisruptor.setDefaultExceptionHandler(new FaultLog());
        mDisruptor.handleEventsWith((slot, sequence, endOfBatch) -> apply(slot, endOfBatch));
        mRing = mDisruptor.getRingBuffer();
    }

    void start(final Duration tick) {
        mDisruptor.start();
        mTicks =
                mTimer.executeAtInterval(
                        () -> offer(now -> {}), tick.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void apply(final Slot slot, final boolean endOfBatch) {
        final DutyTask task = slot.mTask;
        slot.mTask = null;
        task.run(mClock.instant());
        if (endOfBatch) {
            mAfterBatch.run(mClock.instant());
        }
    }

    /** Offers an event that begins something; false if the ring is nearly full. */
    boolean offerNew(final DutyTask task) {
        return !mClosed
                && mRing.hasAvailableCapacity(mRing.getBufferSize() / RESERVED_SHARE)
                && offer(task);
    }

    /**
     * Hands over an event that something waits for, such as the answer to a read.
     *
     * <p>Guards against a full ring, which would otherwise lose the answer and end the reading of
     * its stream for good: the event is offered again until there is room.
     */
    void deliver(final DutyTask task) {
        if (!mClosed && !offer(task)) {
            mTimer.executeAfter(() -> deliver(task), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean offer(final DutyTask task) {
        return mRing.tryPublishEvent((slot, sequence) -> slot.mTask = task);
    }

    @Override
    public void close() {
        mClosed = true;
        mTicks.remove();
        try {
            mDisruptor.shutdown(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (final TimeoutException e) {
            LOGGER.atWarn().log("events were still waiting when the log duty was stopped");
            mDisruptor.halt();
        }
    }

    /** One place of the ring. */
    private static final class Slot {
        private DutyTask mTask;
    }

    /** Guards against a fault in one event that would end the thread and with it the duty. */
    private static final class FaultLog implements ExceptionHandler<Slot> {
        @Override
        public void handleEventException(
                final Throwable fault, final long sequence, final Slot slot) {
            LOGGER.atError().setCause(fault).log("an event of the log duty failed");
        }

        @Override
        public void handleOnStartException(final Throwable fault) {
            LOGGER.atError().setCause(fault).log("the log duty could not start");
        }

        @Override
        public void handleOnShutdownException(final Throwable fault) {
            LOGGER.atError().setCause(fault).log("the log duty could not stop");
        }
    }
}
