package org.whinhead.daemon.duty;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A duty's thread, which runs short tasks from a bounded ring one after the other. */
public final class DutyLoop implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(DutyLoop.class);

    private final Disruptor<Slot> mDisruptor;
    private final RingBuffer<Slot> mRing;

    /**
     * Starts a duty's thread.
     *
     * @param name the thread's name
     * @param slots the ring's size, a power of two
     */
    public DutyLoop(final String name, final int slots) {
        mDisruptor =
                new Disruptor<>(
                        Slot::new,
                        slots,
                        task -> new Thread(task, name),
                        ProducerType.MULTI,
                        new BlockingWaitStrategy());
        mDisruptor.setDefaultExceptionHandler(new FaultLog());
        mDisruptor.handleEventsWith((slot, sequence, endOfBatch) -> slot.takeTask().run());
        mRing = mDisruptor.getRingBuffer();
        mDisruptor.start();
    }

    /**
     * Offers a task.
     *
     * @param task the task; it must not block
     * @return false if the ring is full; nothing was taken in then
     */
    public boolean offer(final Runnable task) {
        return mRing.tryPublishEvent((slot, sequence) -> slot.mTask = task);
    }

    @Override
    public void close() {
        mDisruptor.halt();
    }

    /** One place of the ring. */
    private static final class Slot {
        private Runnable mTask;

        private Runnable takeTask() {
            final Runnable task = mTask;
            mTask = null;
            return task;
        }
    }

    /** Guards against a fault in one task that would end the duty's thread: it is logged. */
    private static final class FaultLog implements ExceptionHandler<Slot> {
        @Override
        public void handleEventException(
                final Throwable fault, final long sequence, final Slot slot) {
            LOGGER.atError().setCause(fault).log("a task of a duty failed");
        }

        @Override
        public void handleOnStartException(final Throwable fault) {
            LOGGER.atError().setCause(fault).log("a duty could not start");
        }

        @Override
        public void handleOnShutdownException(final Throwable fault) {
            LOGGER.atError().setCause(fault).log("a duty could not stop");
        }
    }
}
