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

/** The daemon's router: fit first, then the strategy's choice among open endpoints. */
public final class AffinityRouter implements Router {

    private static final int PREFIX_CAPACITY = 65_536;

    /** One more request in progress at a plain service weighs as much as this many milliseconds. */
    private static final double PLACE_SCALE = 10;

    private final RoutingSettings mSettings;
    private final RandomGenerator mRandom;
    private final PrefixIndex mPrefixes = new PrefixIndex(PREFIX_CAPACITY);
    private final EndpointTable mTable;
    private final Picker mEnginePicker;
    private final Picker mServicePicker;
    private final Map<Dispatch, InFlight> mInFlight = new HashMap<>();

    /**
     * Makes a router that knows no endpoint yet.
     *
     * @param settings the weights of a decision
     * @param random the source of chance
     */
    public AffinityRouter(final RoutingSettings settings, final RandomGenerator random) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mRandom = Objects.requireNonNull(random, "random");
        mTable = new EndpointTable(this::newState, this::placeMillis);
        mEnginePicker = settings.strategy().create(settings, random, mPrefixes);
        mServicePicker =
                new ScanPicker(
                        random::nextInt,
                        state -> state.load().ownInFlight() + state.placeMillis() / PLACE_SCALE);
    }

    /**
     * Replaces the table of endpoints; what is known of those that stay is kept.
     *
     * @param endpoints every endpoint to route to
     */
    public void endpointsChanged(final List<Endpoint> endpoints) {
        mTable.replaceAll(endpoints);
    }

    /**
     * Adds one endpoint or changes it.
     *
     * @param endpoint the endpoint
     */
    public void endpointChanged(final Endpoint endpoint) {
        mTable.put(endpoint);
    }

    /**
     * Forgets one endpoint.
     *
     * @param endpoint the endpoint
     */
    public void endpointGone(final EndpointId endpoint) {
        mTable.remove(endpoint);
    }

    /**
     * Shuts a leaving endpoint out for good, whatever a lagging list says of it later.
     *
     * @param endpoint the endpoint
     */
    public void leaving(final EndpointId endpoint) {
        mTable.leaving(endpoint);
    }

    /**
     * Takes a load report, polled or heard from a peer.
     *
     * @param report the report
     * @param now the time
     */
    public void loadReported(final LoadReport report, final Instant now) {
        final EndpointState state = mTable.state(report.endpoint());
        if (state != null) {
            state.load().report(report, now);
            state.loadChanged();
        }
    }

    /**
     * Takes a cache event.
     *
     * @param event the event
     */
    public void cacheEvent(final CacheEvent event) {
        final EndpointState state = mTable.state(event.endpoint());
        if (state == null) {
            return;
        }
        switch (event.kind()) {
            case STORED:
                mPrefixes.stored(event.prefixHash(), state);
                break;
            case EVICTED:
                mPrefixes.evicted(event.prefixHash(), state);
                break;
            default:
                throw new IllegalArgumentException("unknown kind " + event.kind());
        }
    }

    @Override
    public Optional<Endpoint> choose(
            final RequestSpec spec, final Set<EndpointId> excluded, final Instant now) {
        final Pool pool = mTable.pool(spec);
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
        return state.chosen();
    }

    @Override
    public void succeeded(final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        final InFlight attempt = mInFlight.get(new Dispatch(spec.id(), endpoint));
        if (attempt != null) {
            attempt.state().health().succeeded(attempt.revision());
        }
    }

    @Override
    public void failed(final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        final InFlight attempt = mInFlight.get(new Dispatch(spec.id(), endpoint));
        if (attempt != null) {
            attempt.state().health().failed(attempt.revision(), now);
        }
    }

    /**
     * Counts the end of an attempt, once.
     *
     * <p>Guards against an end that is told twice, or that belongs to an earlier life of an
     * endpoint which fell out of the list and came back: either would make an endpoint look emptier
     * than it is. The attempt keeps the state that it was counted against and is forgotten here.
     */
    @Override
    public void ended(final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        final InFlight attempt = mInFlight.remove(new Dispatch(spec.id(), endpoint));
        if (attempt != null) {
            attempt.state().load().ended(now);
            attempt.state().loadChanged();
        }
    }

    /**
     * Returns how many attempts of this daemon are in progress at an endpoint.
     *
     * @param endpoint the endpoint
     * @return the number; 0 if the endpoint is not known
     */
    public int inProgressAt(final EndpointId endpoint) {
        final EndpointState state = mTable.state(endpoint);
        return state == null ? 0 : state.load().ownInFlight();
    }

    /**
     * Tells whether an endpoint has failed and not yet recovered.
     *
     * @param endpoint the endpoint
     * @return true if it is suspect; false if it is not known
     */
    public boolean isSuspect(final EndpointId endpoint) {
        final EndpointState state = mTable.state(endpoint);
        return state != null && state.health().isSuspect();
    }

    @Override
    public Optional<Endpoint> find(
            final EndpointId endpoint, final RequestSpec spec, final Instant now) {
        final EndpointState state = mTable.state(endpoint);
        if (state == null || !state.endpoint().vm().state().canStillAnswer()) {
            return Optional.empty();
        }
        dispatch(state, spec, now);
        return state.chosen();
    }

    private void dispatch(final EndpointState state, final RequestSpec spec, final Instant now) {
        final Dispatch dispatch = new Dispatch(spec.id(), state.endpoint().id());
        final long revision = state.health().dispatched(now);
        mPrefixes.sent(spec.prefixHashes(), state);
        final InFlight before = mInFlight.put(dispatch, new InFlight(state, revision));
        if (before == null) {
            state.load().sent(now);
            state.loadChanged();
        }
    }

    private EndpointState newState(final Endpoint endpoint) {
        final long transitNanos = mSettings.costs().transit().toNanos();
        return new EndpointState(
                endpoint,
                new EndpointHealth(mSettings.health(), mRandom),
                new LoadEstimate(transitNanos));
    }

    private double placeMillis(final Endpoint endpoint) {
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

    /** One request at one endpoint. */
    private record Dispatch(RequestId request, EndpointId endpoint) {}

    /** What an attempt in progress was counted against. */
    private record InFlight(EndpointState state, long revision) {}
}
