package org.whinhead.routing;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;

/** The daemon's router: applies a routing strategy to the pool of endpoints that fit a request. */
public final class AffinityRouter implements Router {

    private static final int PREFIX_CAPACITY = 65_536;

    /** The location cost that equals one more request in flight at a plain service. */
    private static final double MILLIS_PER_REQUEST = 10;

    private final RoutingSettings mSettings;
    private final RandomGenerator mRandom;
    private final PrefixIndex mPrefixes = new PrefixIndex(PREFIX_CAPACITY);
    private final EndpointTable mTable;
    private final Picker mEnginePicker;
    private final Picker mServicePicker;
    private final Map<Dispatch, InFlight> mInFlight = new HashMap<>();

    /**
     * Creates a router without endpoints.
     *
     * @param settings the strategy, costs and health settings
     * @param random the source of randomness
     */
    public AffinityRouter(final RoutingSettings settings, final RandomGenerator random) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mRandom = Objects.requireNonNull(random, "random");
        mTable = new EndpointTable(this::newState, this::locationCostMillis);
        mEnginePicker = settings.strategy().create(settings, random, mPrefixes);
        mServicePicker =
                new LowestCostPicker(
                        random::nextInt,
                        state ->
                                state.load().ownInFlight()
                                        + state.locationCostMillis() / MILLIS_PER_REQUEST);
    }

    /**
     * Replaces the endpoints and keeps the state of those that remain.
     *
     * @param endpoints all endpoints to route to
     */
    public void endpointsChanged(final List<Endpoint> endpoints) {
        mTable.replaceAll(endpoints);
    }

    /**
     * Adds or updates an endpoint.
     *
     * @param endpoint the endpoint
     */
    public void endpointChanged(final Endpoint endpoint) {
        mTable.put(endpoint);
    }

    /**
     * Removes an endpoint.
     *
     * @param endpoint the endpoint
     */
    public void endpointRemoved(final EndpointId endpoint) {
        mTable.remove(endpoint);
    }

    /**
     * Excludes a leaving endpoint permanently, even if a stale list later contains it.
     *
     * @param endpoint the endpoint
     */
    public void endpointLeaving(final EndpointId endpoint) {
        mTable.excludeLeaving(endpoint);
    }

    /**
     * Applies a load report, polled or received from a peer.
     *
     * @param report the report
     * @param now the current time
     */
    public void loadReported(final LoadReport report, final Instant now) {
        final EndpointState state = mTable.state(report.endpoint());
        if (state != null) {
            state.load().applyReport(report, now);
            state.updatePoolLoads();
        }
    }

    /**
     * Applies a cache event of an engine.
     *
     * @param event the event
     */
    public void cacheChanged(final CacheEvent event) {
        final EndpointState state = mTable.state(event.endpoint());
        if (state == null) {
            return;
        }
        switch (event.kind()) {
            case STORED:
                mPrefixes.addHolder(event.prefixHash(), state);
                break;
            case EVICTED:
                mPrefixes.removeHolder(event.prefixHash(), state);
                break;
            default:
                throw new IllegalArgumentException("unknown kind " + event.kind());
        }
    }

    @Override
    public Optional<Endpoint> choose(
            final RequestSpec spec, final Set<EndpointId> excluded, final Instant now) {
        final EndpointPool pool = mTable.pool(spec);
        if (pool == null) {
            return Optional.empty();
        }
        final Picker picker =
                spec.kind() == EndpointKind.PLAIN_SERVICE ? mServicePicker : mEnginePicker;
        final EndpointState state = picker.pick(pool, new RouteQuery(spec, excluded, now));
        if (state == null) {
            return Optional.empty();
        }
        dispatch(state, spec, now);
        return state.asOptional();
    }

    @Override
    public void attemptSucceeded(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        final InFlight inFlight = mInFlight.get(new Dispatch(spec.id(), endpoint));
        if (inFlight != null) {
            inFlight.state().health().succeeded(inFlight.revision());
        }
    }

    @Override
    public void attemptFailed(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        final InFlight inFlight = mInFlight.get(new Dispatch(spec.id(), endpoint));
        if (inFlight != null) {
            inFlight.state().health().failed(inFlight.revision(), now);
        }
    }

    /**
     * Subtracts an ended attempt from the load that it was counted in, once.
     *
     * <p>Each attempt refers to the state that counted it. Otherwise an end reported twice, or one
     * from before the endpoint was removed and added again, would understate the load.
     */
    @Override
    public void attemptEnded(final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        final InFlight inFlight = mInFlight.remove(new Dispatch(spec.id(), endpoint));
        if (inFlight != null) {
            inFlight.state().load().requestEnded(now);
            inFlight.state().updatePoolLoads();
        }
    }

    /**
     * Returns the number of this daemon's attempts in flight at an endpoint.
     *
     * @param endpoint the endpoint
     * @return the number; 0 if the endpoint is unknown
     */
    public int inFlightAt(final EndpointId endpoint) {
        final EndpointState state = mTable.state(endpoint);
        return state == null ? 0 : state.load().ownInFlight();
    }

    /**
     * Returns whether an endpoint has failed and not yet recovered.
     *
     * @param endpoint the endpoint
     * @return true if the endpoint is suspect; false if it is unknown
     */
    public boolean isSuspect(final EndpointId endpoint) {
        final EndpointState state = mTable.state(endpoint);
        return state != null && state.health().isSuspect();
    }

    @Override
    public Optional<Endpoint> dispatchTo(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        final EndpointState state = mTable.state(endpoint);
        if (state == null || !state.endpoint().vm().state().canStillAnswer()) {
            return Optional.empty();
        }
        dispatch(state, spec, now);
        return state.asOptional();
    }

    private void dispatch(final EndpointState state, final RequestSpec spec, final Instant now) {
        final Dispatch dispatch = new Dispatch(spec.id(), state.endpoint().id());
        final long revision = state.health().dispatched(now);
        mPrefixes.recordSend(spec.prefixHashes(), state);
        final InFlight previous = mInFlight.put(dispatch, new InFlight(state, revision));
        if (previous == null) {
            state.load().requestSent(now);
            state.updatePoolLoads();
        }
    }

    private EndpointState newState(final Endpoint endpoint) {
        final long transitNanos = mSettings.costs().transit().toNanos();
        return new EndpointState(
                endpoint,
                new EndpointHealth(mSettings.health(), mRandom),
                new LoadEstimate(transitNanos));
    }

    private double locationCostMillis(final Endpoint endpoint) {
        final RoutingSettings.Costs costs = mSettings.costs();
        final FailureDomain domain = endpoint.vm().domain();
        final double price =
                endpoint.vm().billing() == Billing.ON_DEMAND ? costs.onDemandMillis() : 0;
        if (domain.equals(mSettings.ownDomain())) {
            return price;
        }
        final boolean sameRegion = domain.region().equals(mSettings.ownDomain().region());
        return price + (sameRegion ? costs.otherDomainMillis() : costs.otherRegionMillis());
    }

    /** The key of an attempt: one request at one endpoint. */
    private record Dispatch(RequestId request, EndpointId endpoint) {}

    /** An attempt in flight: the state that counts it and the health revision at its dispatch. */
    private record InFlight(EndpointState state, long revision) {}
}
