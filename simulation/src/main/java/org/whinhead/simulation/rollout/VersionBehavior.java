package org.whinhead.simulation.rollout;

import java.util.random.RandomGenerator;

/**
 * How endpoints of a version answer; a bad one is bad in one of the ways that operators have met.
 */
public enum VersionBehavior {
    /** Answers like the version before. */
    GOOD(false) {
        @Override
        Fault faultFor(final RequestConditions answer) {
            return Fault.NONE;
        }
    },
    /** Fails part of its answers from the start. */
    BAD_AT_ONCE(true) {
        @Override
        Fault faultFor(final RequestConditions answer) {
            return Fault.FAILS;
        }
    },
    /** Fails part of its answers from half of the time budget on. */
    BAD_LATER(true) {
        @Override
        Fault faultFor(final RequestConditions answer) {
            return answer.elapsedBudgetShare() > 0.5 ? Fault.FAILS : Fault.NONE;
        }
    },
    /** Fails part of its answers at endpoints that get most of what an endpoint usually gets. */
    BAD_UNDER_LOAD(true) {
        @Override
        Fault faultFor(final RequestConditions answer) {
            return answer.endpointLoadShare() > 0.6 ? Fault.FAILS : Fault.NONE;
        }
    },
    /** Fails part of its answers on one of its routes. */
    BAD_ON_ONE_ROUTE(true) {
        @Override
        Fault faultFor(final RequestConditions answer) {
            return answer.route() == 0 ? Fault.FAILS : Fault.NONE;
        }
    },
    /** Answers part of its requests four times as slowly. */
    SLOW(true) {
        @Override
        Fault faultFor(final RequestConditions answer) {
            return Fault.SLOW;
        }
    };

    /** Part of the answers that a fault hits. */
    private static final double FAULT_SHARE = 0.4;

    private final boolean mBad;

    VersionBehavior(final boolean bad) {
        mBad = bad;
    }

    /**
     * Tells whether a roll-out of the version has to be rolled back.
     *
     * @return whether it is bad
     */
    public boolean isBad() {
        return mBad;
    }

    /** What an answer may be hit by. */
    enum Fault {
        NONE,
        FAILS,
        SLOW
    }

    /**
     * Under which conditions a request is answered.
     *
     * @param route the number of its route
     * @param elapsedBudgetShare the part of the time budget that is over
     * @param endpointLoadShare the requests that its endpoint gets, as a part of what each of the
     *     old ones got before the roll-out
     */
    record RequestConditions(int route, double elapsedBudgetShare, double endpointLoadShare) {}

    abstract Fault faultFor(RequestConditions answer);

    Fault drawFault(final RequestConditions answer, final RandomGenerator random) {
        return random.nextDouble() < FAULT_SHARE ? faultFor(answer) : Fault.NONE;
    }
}
