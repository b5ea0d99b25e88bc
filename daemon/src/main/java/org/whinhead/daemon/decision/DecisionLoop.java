package org.whinhead.daemon.decision;

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
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.requests.RequestCoordinator;

/** Runs the coordinator on one thread, fed by a bounded ring. */
public final class DecisionLoop implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(DecisionLoop.class);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    /** New requests leave this share of the ring to events of requests in progress. */
    private static final int RESERVED_SHARE = 4;

    private final Disruptor<Slot> mDisruptor;
    private final RingBuffer<Slot> mRing;
    private final InstantSource mClock;
    private final LiveRequests mRequests;
    private final int mReserved;
    private RequestCoordinator mCoordinator;

    /**
     * Makes a loop that is not started yet.
     *
     * @param name the thread's name
     * @param slots the ring's size, a power of two
     * @param requests the requests in progress
     * @param clock the time
     */
    public DecisionLoop(
            final String name,
            final int slots,
            final LiveRequests requests,
            final InstantSource clock) {
        mClock = clock;
        mRequests = requests;
        mReserved = slots / RESERVED_SHARE;
        mDisruptor =
                new Disruptor<>(
                        Slot::new,
                        slots,
                        task -> new Thread(task, name),
                        ProducerType.MULTI,
                        new BlockingWaitStrategy());
        mDisruptor.setDefaultExceptionHandler(new FaultLog());
        mDisruptor.handleEventsWith((slot, sequence, endOfBatch) -> apply(slot.takeEvent()));
        mRing = mDisruptor.getRingBuffer();
    }

    /**
     * Starts the thread.
     *
     * @param coordinator told of every event, on the loop's thread only
     */
    public void start(final RequestCoordinator coordinator) {
        mCoordinator = coordinator;
        mDisruptor.start();
    }

    /**
     * Offers an event that begins a request.
     *
     * @param event the event
     * @return false if the ring is nearly full; nothing was taken in then
     */
    public boolean offerNew(final DecisionEvent event) {
        return mRing.hasAvailableCapacity(mReserved) && offer(event);
    }

    /**
     * Offers an event.
     *
     * @param event the event
     * @return false if the ring is full; nothing was taken in then
     */
    public boolean offer(final DecisionEvent event) {
        return mRing.tryPublishEvent((slot, sequence) -> slot.mEvent = event);
    }

    /** Returns how many events wait, for metrics. */
    public long waiting() {
        return mRing.getBufferSize() - mRing.remainingCapacity();
    }

    private void apply(final DecisionEvent event) {
        event.applyTo(mCoordinator, mRequests, mClock.instant());
    }

    @Override
    public void close() {
        try {
            mDisruptor.shutdown(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (final TimeoutException e) {
            LOGGER.atWarn().log("decisions were still waiting when the loop was stopped");
            mDisruptor.halt();
        }
    }

    /** One place of the ring. */
    private static final class Slot {
        private DecisionEvent mEvent;

        /** Takes the event out, so that the ring keeps no request alive. */
        private DecisionEvent takeEvent() {
            final DecisionEvent event = mEvent;
            mEvent = null;
            return event;
        }
    }

    /**
     * Guards against a fault in one decision that would end the thread and with it all requests: it
     * is logged with its cause, and the loop goes on with the next event.
     */
    private static final class FaultLog implements ExceptionHandler<Slot> {
        @Override
        public void handleEventException(
                final Throwable fault, final long sequence, final Slot slot) {
            LOGGER.atError().setCause(fault).log("a decision failed");
        }

        @Override
        public void handleOnStartException(final Throwable fault) {
            LOGGER.atError().setCause(fault).log("the decision loop could not start");
        }

        @Override
        public void handleOnShutdownException(final Throwable fault) {
            LOGGER.atError().setCause(fault).log("the decision loop could not stop");
        }
    }
}
