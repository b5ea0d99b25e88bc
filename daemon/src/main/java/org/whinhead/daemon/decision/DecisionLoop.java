package org.whinhead.daemon.decision;

import java.time.InstantSource;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.ring.EventRing;
import org.whinhead.requests.RequestCoordinator;

/** Runs the coordinator on one thread, fed by a bounded ring. */
public final class DecisionLoop implements AutoCloseable {

    private final EventRing<DecisionEvent> mRing;
    private final InstantSource mClock;
    private final LiveRequests mRequests;
    private RequestCoordinator mCoordinator;
    private volatile boolean mStopped;

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
        mRing = new EventRing<>(name, slots, (event, endOfBatch) -> apply(event));
    }

    /**
     * Starts the thread.
     *
     * @param coordinator told of every event, on the loop's thread only
     */
    public void start(final RequestCoordinator coordinator) {
        mCoordinator = coordinator;
        mRing.start();
    }

    /**
     * Offers an event that begins a request.
     *
     * @param event the event
     * @return false if the ring is nearly full; nothing was taken in then
     */
    public boolean offerNew(final DecisionEvent event) {
        return mRing.offerNew(event);
    }

    /**
     * Offers an event.
     *
     * @param event the event
     * @return false if the ring is full; nothing was taken in then
     */
    public boolean offer(final DecisionEvent event) {
        return mRing.offer(event);
    }

    /** Returns how many events wait, for metrics. */
    public long waitingEvents() {
        return mRing.waitingEvents();
    }

    /**
     * Decides nothing from now on; events that come are dropped.
     *
     * <p>A daemon that ends closes its callers' connections, which looks as if they had hung up.
     * Their streams would be cancelled at the engines, where other daemons read them on.
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
