package org.whinhead.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;

/** The router's mutable state of one endpoint; accessed by the router's thread only. */
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

    /** Excludes the endpoint permanently, since it is leaving or removed. */
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

    /** Adds the change of the load estimate to the totals of the pools. */
    void updatePoolLoads() {
        final int delta = mLoad.requests() - mPooledRequests;
        mPooledRequests += delta;
        for (int i = 0; i < mPools.size(); i++) {
            mPools.get(i).addLoad(delta);
        }
    }
}
