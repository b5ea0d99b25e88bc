package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;

/** A request in progress at a service's endpoints, which counts until it is ended. */
public final class PlacedRequest {

    private final ServiceState mState;
    private final String mRoute;
    private final int mRank;
    private final boolean mSlotsFree;
    private final Instant mStartedAt;
    private boolean mEnded;

    PlacedRequest(
            final ServiceState state,
            final String route,
            final int rank,
            final boolean slotsFree,
            final Instant startedAt) {
        mState = state;
        mRoute = route;
        mRank = rank;
        mSlotsFree = slotsFree;
        mStartedAt = startedAt;
        state.started(rank);
    }

    /**
     * Ends the request; further calls are ignored.
     *
     * @param answered whether it was answered without a failure
     * @param now the current time
     */
    public void end(final boolean answered, final Instant now) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mState.ended(mRank);
        if (answered) {
            mState.times().record(mRoute, Duration.between(mStartedAt, now), mSlotsFree, now);
        }
    }
}
