package org.whinhead.simulation.rollout;

import java.util.random.RandomGenerator;

/** The behavior of a version's endpoints. The bad ones are failure modes seen by operators. */
public enum VersionBehavior {
    /** Answers like the old version. */
    GOOD(false) {
        @Override
        Fault faultFor(final RequestConditions conditions) {
            return Fault.NONE;
        }
    },
    /** Fails part of its answers from the start. */
    BAD_AT_ONCE(true) {
        @Override
        Fault faultFor(final RequestConditions conditions) {
            return Fault.FAILS;
        }
    },
    /** Fails part of its answers after half of the time budget. */
    BAD_LATER(true) {
        @Override
        Fault faultFor(final RequestConditions conditions) {
            return conditions.elapsedBudgetShare() > 0.5 ? Fault.FAILS : Fault.NONE;
        }
    },
    /** Fails part of its answers at endpoints with more than 0.6 of the usual load. */
    BAD_UNDER_LOAD(true) {
        @Override
        Fault faultFor(final RequestConditions conditions) {
            return conditions.endpointLoadShare() > 0.6 ? Fault.FAILS : Fault.NONE;
        }
    },
    /** Fails part of its answers on one of its routes. */
    BAD_ON_ONE_ROUTE(true) {
        @Override
        Fault faultFor(final RequestConditions conditions) {
            return conditions.route() == 0 ? Fault.FAILS : Fault.NONE;
        }
    },
    /** Answers part of its requests four times as slowly. */
    SLOW(true) {
        @Override
        Fault faultFor(final RequestConditions conditions) {
            return Fault.SLOW;
        }
    };

    /** The share of answers that a fault affects. */
    private static final double FAULT_SHARE = 0.4;

    private final boolean mBad;

    VersionBehavior(final boolean bad) {
        mBad = bad;
    }

    /**
     * Returns whether the version has to be rolled back.
     *
     * @return whether the version is bad
     */
    public boolean isBad() {
        return mBad;
    }

    /** The fault of an answer. */
    enum Fault {
        NONE,
        FAILS,
        SLOW
    }

    /**
     * The conditions under which a request is answered.
     *
     * @param route the index of the route
     * @param elapsedBudgetShare the elapsed share of the time budget (0 to 1)
     * @param endpointLoadShare the request rate of the endpoint, relative to the rate of each old
     *     endpoint before the roll-out
     */
    record RequestConditions(int route, double elapsedBudgetShare, double endpointLoadShare) {}

    abstract Fault faultFor(RequestConditions conditions);

    Fault drawFault(final RequestConditions conditions, final RandomGenerator random) {
        return random.nextDouble() < FAULT_SHARE ? faultFor(conditions) : Fault.NONE;
    }
}
