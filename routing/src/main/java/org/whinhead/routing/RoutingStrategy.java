package org.whinhead.routing;

import java.util.function.IntUnaryOperator;
import java.util.random.RandomGenerator;

/** The strategies to choose an engine; all but {@link #AFFINITY} are baselines for comparison. */
public enum RoutingStrategy {
    /** A random available endpoint. */
    RANDOM {
        @Override
        Picker create(
                final RoutingSettings settings,
                final RandomGenerator random,
                final PrefixIndex prefixes) {
            return new LowestCostPicker(size -> random.nextInt(size), state -> 0);
        }
    },
    /** Each available endpoint in turn. */
    ROUND_ROBIN {
        @Override
        Picker create(
                final RoutingSettings settings,
                final RandomGenerator random,
                final PrefixIndex prefixes) {
            return new LowestCostPicker(new RoundRobinIndex(), state -> 0);
        }
    },
    /** The endpoint with the fewest requests by its last report. */
    LEAST_REPORTED_LOAD {
        @Override
        Picker create(
                final RoutingSettings settings,
                final RandomGenerator random,
                final PrefixIndex prefixes) {
            return new LowestCostPicker(
                    size -> random.nextInt(size), state -> state.load().reportedRequests());
        }
    },
    /** The endpoint with the least expected time to the first token, given its cached prefixes. */
    AFFINITY {
        @Override
        Picker create(
                final RoutingSettings settings,
                final RandomGenerator random,
                final PrefixIndex prefixes) {
            return new AffinityPicker(settings.costs(), random, prefixes);
        }
    };

    abstract Picker create(RoutingSettings settings, RandomGenerator random, PrefixIndex prefixes);

    /** Cycles through the indexes of a pool. */
    private static final class RoundRobinIndex implements IntUnaryOperator {
        private int mNext;

        @Override
        public int applyAsInt(final int size) {
            mNext = Math.floorMod(mNext + 1, size);
            return mNext;
        }
    }
}
