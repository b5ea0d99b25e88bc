package org.whinhead.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.request.RequestSpec;

/** The endpoints of a router, and the endpoint pool of each model and service. */
final class EndpointTable {

    private static final int MAX_LEAVING = 8192;

    private final Function<Endpoint, EndpointState> mNewState;
    private final Function<Endpoint, Double> mLocationCostMillis;
    private final Map<EndpointId, EndpointState> mStates = new HashMap<>();
    private final Map<ModelRef, EndpointPool> mModelPools = new HashMap<>();
    private final Map<String, EndpointPool> mServicePools = new HashMap<>();
    private final Set<EndpointId> mLeaving = new LinkedHashSet<>();
    private boolean mPoolsStale;

    EndpointTable(
            final Function<Endpoint, EndpointState> newState,
            final Function<Endpoint, Double> locationCostMillis) {
        mNewState = newState;
        mLocationCostMillis = locationCostMillis;
    }

    void replaceAll(final List<Endpoint> endpoints) {
        final Set<EndpointId> listed = new HashSet<>();
        for (final Endpoint endpoint : endpoints) {
            listed.add(endpoint.id());
            put(endpoint);
        }
        for (final EndpointId id : List.copyOf(mStates.keySet())) {
            if (!listed.contains(id)) {
                remove(id);
            }
        }
    }

    void put(final Endpoint endpoint) {
        EndpointState state = mStates.get(endpoint.id());
        if (state != null && state.endpoint().equals(endpoint)) {
            return;
        }
        if (state == null) {
            state = mNewState.apply(endpoint);
            mStates.put(endpoint.id(), state);
        }
        state.update(endpoint, mLocationCostMillis.apply(endpoint));
        if (mLeaving.contains(endpoint.id())) {
            state.exclude();
        }
        mPoolsStale = true;
    }

    void remove(final EndpointId id) {
        final EndpointState state = mStates.remove(id);
        if (state != null) {
            state.exclude();
            mPoolsStale = true;
        }
    }

    /**
     * Excludes an endpoint permanently.
     *
     * <p>The VM list may show a leaving endpoint as live for a while after its notice, so its id
     * stays excluded. A replacement has another id.
     */
    void excludeLeaving(final EndpointId id) {
        mLeaving.add(id);
        if (mLeaving.size() > MAX_LEAVING) {
            mLeaving.remove(mLeaving.iterator().next());
        }
        final EndpointState state = mStates.get(id);
        if (state != null) {
            state.exclude();
            mPoolsStale = true;
        }
    }

    /** Returns the state of an endpoint, or null if it is unknown. */
    EndpointState state(final EndpointId id) {
        return mStates.get(id);
    }

    /** Returns the pool that serves the model or service of a request, or null. */
    EndpointPool pool(final RequestSpec spec) {
        if (mPoolsStale) {
            rebuildPools();
        }
        if (spec.kind() == EndpointKind.PLAIN_SERVICE) {
            return mServicePools.get(spec.service());
        }
        return spec.model().isPresent() ? mModelPools.get(spec.model().get()) : null;
    }

    private void rebuildPools() {
        final Map<ModelRef, List<EndpointState>> byModel = new HashMap<>();
        final Map<String, List<EndpointState>> byService = new HashMap<>();
        for (final EndpointState state : mStates.values()) {
            state.leaveAllPools();
            if (state.acceptsNewWork()) {
                group(state, byModel, byService);
            }
        }
        mModelPools.clear();
        mServicePools.clear();
        byModel.forEach((model, members) -> mModelPools.put(model, new EndpointPool(members)));
        byService.forEach(
                (service, members) -> mServicePools.put(service, new EndpointPool(members)));
        mPoolsStale = false;
    }

    private static void group(
            final EndpointState state,
            final Map<ModelRef, List<EndpointState>> byModel,
            final Map<String, List<EndpointState>> byService) {
        final Endpoint endpoint = state.endpoint();
        if (endpoint.kind() == EndpointKind.PLAIN_SERVICE) {
            byService.computeIfAbsent(endpoint.service(), key -> new ArrayList<>()).add(state);
        }
        for (final ModelRef model : endpoint.models()) {
            byModel.computeIfAbsent(model, key -> new ArrayList<>()).add(state);
        }
    }
}
