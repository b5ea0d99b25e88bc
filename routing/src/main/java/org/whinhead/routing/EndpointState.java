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
    private final List<EndpointPool> mPools = new ArrayList<>();
    private Endpoint mEndpoint;
    private Optional<Endpoint> mOptionalEndpoint;
    private double mLocationCostMillis;
    private boolean mExcluded;
    private int mPooledRequests;

    EndpointState(final Endpoint endpoint, final EndpointHealth health, final LoadEstimate load) {
        mHash = RendezvousHash.hash(endpoint.id().value());
        mHealth = health;
        mLoad = load;
        mEndpoint = endpoint;
        mOptionalEndpoint = Optional.of(endpoint);
    }

    void update(final Endpoint endpoint, final double placeMillis) {
        mEndpoint = endpoint;
        mOptionalEndpoint = Optional.of(endpoint);
        mLocationCostMillis = placeMillis;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    Optional<Endpoint> asOptional() {
        return mOptionalEndpoint;
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

    double locationCostMillis() {
        return mLocationCostMillis;
    }

    /** Shuts the endpoint out for good: it is leaving or gone. */
    void exclude() {
        mExcluded = true;
    }

    boolean acceptsNewWork() {
        return !mExcluded && mEndpoint.vm().state().acceptsNewWork();
    }

    boolean canDispatch(final Instant now) {
        return acceptsNewWork() && mHealth.canDispatch(now);
    }

    void leaveAllPools() {
        mPools.clear();
        mPooledRequests = mLoad.requests();
    }

    void joinPool(final EndpointPool pool) {
        mPools.add(pool);
    }

    /** Carries a change of the estimate into the totals of the pools. */
    void updatePoolLoads() {
        final int delta = mLoad.requests() - mPooledRequests;
        mPooledRequests += delta;
        for (int i = 0; i < mPools.size(); i++) {
            mPools.get(i).addLoad(delta);
        }
    }
}
