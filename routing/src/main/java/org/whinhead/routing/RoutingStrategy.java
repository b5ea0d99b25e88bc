package org.whinhead.routing;

import java.util.function.IntUnaryOperator;
import java.util.random.RandomGenerator;

/** How an engine is chosen; all but affinity are baselines to compare with. */
public enum RoutingStrategy {
    /** Any open endpoint with the same chance. */
    RANDOM {
        @Override
        Picker create(
                final RoutingSettings settings,
                final RandomGenerator random,
                final PrefixIndex prefixes) {
            return new LowestCostPicker(size -> random.nextInt(size), state -> 0);
        }
    },
    /** Each open endpoint in turn. */
    ROUND_ROBIN {
        @Override
        Picker create(
                final RoutingSettings settings,
                final RandomGenerator random,
                final PrefixIndex prefixes) {
            return new LowestCostPicker(new RoundRobinIndex(), state -> 0);
        }
    },
    /** The endpoint whose last report names the fewest requests. */
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
    /** The endpoint with the least expected time to the first token, cached prefixes counted. */
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

    /** Counts through the members of a pool. */
    private static final class RoundRobinIndex implements IntUnaryOperator {
        private int mNext;

        @Override
        public int applyAsInt(final int size) {
            mNext = Math.floorMod(mNext + 1, size);
            return mNext;
        }
    }
}
