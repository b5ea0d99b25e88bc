package org.whinhead.daemon.ring;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A thread that handles events one after the other, fed by a bounded ring.
 *
 * @param <E> the type of the events
 */
public final class EventRing<E> implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(EventRing.class);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    /** New work leaves this share of the ring to events of work in progress. */
    private static final int RESERVED_DIVISOR = 4;

    private final String mName;
    private final Disruptor<Slot<E>> mDisruptor;
    private final RingBuffer<Slot<E>> mRing;
    private final int mReservedSlots;

    /**
     * Makes a ring that is not started yet.
     *
     * @param name the thread's name
     * @param slots the ring's size, a power of two
     * @param handler told of every event, on the ring's thread only; it must not block
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
        mDisruptor.handleEventsWith(
                (slot, sequence, endOfBatch) -> handler.handle(slot.takeEvent(), endOfBatch));
        mRing = mDisruptor.getRingBuffer();
    }

    /** Starts the thread; events offered before wait until then. */
    public void start() {
        mDisruptor.start();
    }

    /**
     * Offers an event that begins something; the reserved share is not for it.
     *
     * @param event the event
     * @return false if the ring is nearly full; nothing was taken in then
     */
    public boolean offerNew(final E event) {
        return mRing.hasAvailableCapacity(mReservedSlots) && offer(event);
    }

    /**
     * Offers an event.
     *
     * @param event the event
     * @return false if the ring is full; nothing was taken in then
     */
    public boolean offer(final E event) {
        return mRing.tryPublishEvent((slot, sequence) -> slot.mEvent = event);
    }

    /** Returns how many events wait, for metrics. */
    public long waitingEvents() {
        return mRing.getBufferSize() - mRing.remainingCapacity();
    }

    /** Stops the thread after the event in hand; events that wait are dropped. */
    public void halt() {
        mDisruptor.halt();
    }

    /** Stops the thread once the waiting events are handled, after a bounded time at the latest. */
    @Override
    public void close() {
        try {
            mDisruptor.shutdown(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (final TimeoutException e) {
            LOGGER.atWarn()
                    .addKeyValue("ring", mName)
                    .log("events were still waiting when the ring was stopped");
            mDisruptor.halt();
        }
    }

    /** One place of the ring. */
    private static final class Slot<E> {
        private E mEvent;

        /** Takes the event out, so that the ring keeps no request alive. */
        private E takeEvent() {
            final E event = mEvent;
            mEvent = null;
            return event;
        }
    }

    /**
     * Guards against a fault in one event that would end the thread and with it all its work: it is
     * logged with its cause, and the ring goes on with the next event.
     */
    private final class FaultLogger implements ExceptionHandler<Slot<E>> {
        @Override
        public void handleEventException(
                final Throwable fault, final long sequence, final Slot<E> slot) {
            log(fault, "an event failed");
        }

        @Override
        public void handleOnStartException(final Throwable fault) {
            log(fault, "the ring could not start");
        }

        @Override
        public void handleOnShutdownException(final Throwable fault) {
            log(fault, "the ring could not stop");
        }

        private void log(final Throwable fault, final String message) {
            LOGGER.atError().setCause(fault).addKeyValue("ring", mName).log(message);
        }
    }
}
