package org.whinhead.daemon.decision;

import java.time.InstantSource;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.ring.EventRing;
import org.whinhead.requests.RequestCoordinator;

/** Event loop that makes all coordinator calls on one thread, fed by a bounded ring. */
public final class DecisionLoop implements AutoCloseable {

    private final EventRing<DecisionEvent> mRing;
    private final InstantSource mClock;
    private final LiveRequests mRequests;
    private RequestCoordinator mCoordinator;
    private volatile boolean mStopped;

    /**
     * Creates a loop that is not started yet.
     *
     * @param name the thread's name
     * @param slots the ring's size in events, a power of two
     * @param requests the requests in progress
     * @param clock the source of the current time
     */
    public DecisionLoop(
            final String name,
            final int slots,
            final LiveRequests requests,
            final InstantSource clock) {
        mClock = clock;
        mRequests = requests;
        mRing = new EventRing<>(name, slots, (event, endOfBatch) -> apply(event));
    }

    /**
     * Starts the thread.
     *
     * @param coordinator receives every event, on the loop's thread only
     */
    public void start(final RequestCoordinator coordinator) {
        mCoordinator = coordinator;
        mRing.start();
    }

    /**
     * Offers an event that starts a request, for which the reserved slots are not available.
     *
     * @param event the event
     * @return whether the event was accepted; false if fewer slots than the reserved ones are free
     */
    public boolean offerNew(final DecisionEvent event) {
        return mRing.offerNew(event);
    }

    /**
     * Offers an event.
     *
     * @param event the event
     * @return whether the event was accepted; false if the ring is full
     */
    public boolean offer(final DecisionEvent event) {
        return mRing.offer(event);
    }

    /** Returns the number of waiting events, for metrics. */
    public long waitingEvents() {
        return mRing.waitingEvents();
    }

    /**
     * Stops applying events; later events are accepted and dropped.
     *
     * <p>A daemon that exits closes its callers' connections, which looks as if the callers had
     * disconnected. Their streams would be cancelled at the engines, from which other daemons
     * resume them.
     */
    public void stopDeciding() {
        mStopped = true;
    }

    private void apply(final DecisionEvent event) {
        if (mStopped) {
            return;
        }
        event.applyTo(mCoordinator, mRequests, mClock.instant());
    }

    @Override
    public void close() {
        mRing.close();
    }
}
