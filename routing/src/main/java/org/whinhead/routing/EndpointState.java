package org.whinhead.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;

/** What the router knows of one endpoint; changed in place by the router's thread only. */
final class EndpointState {

    private final long mHash;
    private final EndpointHealth mHealth;
    private final LoadEstimate mLoad;
    private final List<Pool> mPools = new ArrayList<>();
    private Endpoint mEndpoint;
    private Optional<Endpoint> mChosen;
    private double mPlaceMillis;
    private boolean mClosed;
    private int mCounted;

    EndpointState(final Endpoint endpoint, final EndpointHealth health, final LoadEstimate load) {
        mHash = Rendezvous.hash(endpoint.id().value());
        mHealth = health;
        mLoad = load;
        mEndpoint = endpoint;
        mChosen = Optional.of(endpoint);
    }

    void update(final Endpoint endpoint, final double placeMillis) {
        mEndpoint = endpoint;
        mChosen = Optional.of(endpoint);
        mPlaceMillis = placeMillis;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    Optional<Endpoint> chosen() {
        return mChosen;
    }

    long hash() {
        return mHash;
    }

    EndpointHealth health() {
        return mHealth;
    }

    LoadEstimate load() {
        return mLoad;
    }

    double placeMillis() {
        return mPlaceMillis;
    }

    /** Shuts the endpoint out for good: it is leaving or gone. */
    void close() {
        mClosed = true;
    }

    boolean acceptsNewWork() {
        return !mClosed && mEndpoint.vm().state().acceptsNewWork();
    }

    boolean isOpen(final Instant now) {
        return acceptsNewWork() && mHealth.isOpen(now);
    }

    void leavePools() {
        mPools.clear();
        mCounted = mLoad.requests();
    }

    void joinPool(final Pool pool) {
        mPools.add(pool);
    }

    /** Carries a change of the estimate into the totals of the pools. */
    void loadChanged() {
        final int delta = mLoad.requests() - mCounted;
        mCounted += delta;
        for (int i = 0; i < mPools.size(); i++) {
            mPools.get(i).addLoad(delta);
        }
    }
}
