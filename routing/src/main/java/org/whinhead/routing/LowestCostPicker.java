package org.whinhead.routing;

import java.util.function.IntUnaryOperator;
import java.util.function.ToDoubleFunction;

/** Scans a pool from a start index and picks the first available endpoint of the lowest cost. */
final class LowestCostPicker implements Picker {

    private final IntUnaryOperator mStart;
    private final ToDoubleFunction<EndpointState> mCost;

    LowestCostPicker(final IntUnaryOperator start, final ToDoubleFunction<EndpointState> cost) {
        mStart = start;
        mCost = cost;
    }

    @Override
    public EndpointState pick(final EndpointPool pool, final RouteQuery query) {
        final EndpointState healthy = scan(pool, query, false);
        return healthy != null ? healthy : scan(pool, query, true);
    }

    private EndpointState scan(
            final EndpointPool pool, final RouteQuery query, final boolean includeSuspect) {
        final int size = pool.size();
        final int start = mStart.applyAsInt(size);
        EndpointState best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        for (int i = 0; i < size; i++) {
            final EndpointState state = pool.get((start + i) % size);
            final double cost = mCost.applyAsDouble(state);
            if (cost < bestCost && isAllowed(state, query, includeSuspect)) {
                if (cost <= 0) {
                    return state;
                }
                best = state;
                bestCost = cost;
            }
        }
        return best;
    }

    private static boolean isAllowed(
            final EndpointState state, final RouteQuery query, final boolean includeSuspect) {
        return includeSuspect ? query.allowsIncludingProbe(state) : query.allows(state);
    }
}
