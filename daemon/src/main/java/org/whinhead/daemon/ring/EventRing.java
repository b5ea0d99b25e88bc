package org.whinhead.daemon.ring;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A bounded ring buffer of events and the thread that handles them in order.
 *
 * @param <E> the type of the events
 */
public final class EventRing<E> implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(EventRing.class);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    /** The ring's size divided by this is reserved for events of work in progress. */
    private static final int RESERVED_DIVISOR = 4;

    private final String mName;
    private final Disruptor<Slot<E>> mDisruptor;
    private final RingBuffer<Slot<E>> mRing;
    private final int mReservedSlots;
    private final CountDownLatch mRunning = new CountDownLatch(1);
    private volatile boolean mStarted;

    /**
     * Creates a ring that is not started yet.
     *
     * @param name the thread's name
     * @param slots the ring's size in events, a power of two
     * @param handler handles every event, on the ring's thread only; must not block
     */
    public EventRing(final String name, final int slots, final EventHandler<E> handler) {
        mName = name;
        mReservedSlots = slots / RESERVED_DIVISOR;
        mDisruptor =
                new Disruptor<>(
                        Slot::new,
                        slots,
                        task -> new Thread(task, name),
                        ProducerType.MULTI,
                        new BlockingWaitStrategy());
        mDisruptor.setDefaultExceptionHandler(new FaultLogger());
        mDisruptor.handleEventsWith(new SlotHandler<>(handler, mRunning));
        mRing = mDisruptor.getRingBuffer();
    }

    /** Starts the thread, which first handles the events that were offered before. */
    public void start() {
        mStarted = true;
        mDisruptor.start();
    }

    /**
     * Offers an event that starts new work, for which the reserved slots are not available.
     *
     * @param event the event
     * @return whether the event was accepted; false if fewer slots than the reserved ones are free
     */
    public boolean offerNew(final E event) {
        return mRing.hasAvailableCapacity(mReservedSlots) && offer(event);
    }

    /**
     * Offers an event.
     *
     * @param event the event
     * @return whether the event was accepted; false if the ring is full
     */
    public boolean offer(final E event) {
        return mRing.tryPublishEvent((slot, sequence) -> slot.mEvent = event);
    }

    /** Returns the number of waiting events, for metrics. */
    public long waitingEvents() {
        return mRing.getBufferSize() - mRing.remainingCapacity();
    }

    /** Stops the thread after the current event; waiting events are dropped. */
    public void halt() {
        mDisruptor.halt();
    }

    /**
     * Stops the thread after it handled the waiting events, or after a timeout.
     *
     * <p>Waits for the thread to run first: the library drops the events of one that does not yet.
     */
    @Override
    public void close() {
        try {
            if (mStarted && !mRunning.await(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw TimeoutException.INSTANCE;
            }
            mDisruptor.shutdown(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            haltWithWaitingEvents();
        } catch (final TimeoutException e) {
            haltWithWaitingEvents();
        }
    }

    private void haltWithWaitingEvents() {
        LOGGER.atWarn()
                .addKeyValue("ring", mName)
                .addKeyValue("events", waitingEvents())
                .log("event ring stopped with unhandled events");
        mDisruptor.halt();
    }

    /** Passes the events to the ring's handler and reports that the thread runs. */
    private static final class SlotHandler<E> implements com.lmax.disruptor.EventHandler<Slot<E>> {

        private final EventHandler<E> mHandler;
        private final CountDownLatch mRunning;

        SlotHandler(final EventHandler<E> handler, final CountDownLatch running) {
            mHandler = handler;
            mRunning = running;
        }

        @Override
        public void onStart() {
            mRunning.countDown();
        }

        @Override
        public void onEvent(final Slot<E> slot, final long sequence, final boolean endOfBatch)
                throws Exception {
            mHandler.handle(slot.takeEvent(), endOfBatch);
        }
    }

    /** One slot of the ring. */
    private static final class Slot<E> {
        private E mEvent;

        /**
         * Removes and returns the event; a reference in the ring would keep its request in memory.
         */
        private E takeEvent() {
            final E event = mEvent;
            mEvent = null;
            return event;
        }
    }

    /**
     * Logs the exceptions of the handler with their cause. The ring continues with the next event;
     * otherwise a fault in one event would end the thread and all its work.
     */
    private final class FaultLogger implements ExceptionHandler<Slot<E>> {
        @Override
        public void handleEventException(
                final Throwable fault, final long sequence, final Slot<E> slot) {
            log(fault, "event handler failed, event skipped");
        }

        @Override
        public void handleOnStartException(final Throwable fault) {
            log(fault, "event ring failed to start");
        }

        @Override
        public void handleOnShutdownException(final Throwable fault) {
            log(fault, "event ring failed to stop");
        }

        private void log(final Throwable fault, final String message) {
            LOGGER.atError().setCause(fault).addKeyValue("ring", mName).log(message);
        }
    }
}
