package org.whinhead.gateway.exchange;

import java.time.Duration;
import org.whinhead.gateway.caller.Refusal;

/** What a caller is told of a request that got no answer, by whether the request may have run. */
final class RefusalFactory {

    /** Longest time after which a caller with a request that did not run is asked to come back. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(300);

    /** Part of the caller's remaining time that it should wait before it comes back. */
    private static final int RETRY_AFTER_DIVISOR = 12;

    private final ServingState mState;
    private final Admission mAdmission;
    private boolean mMayHaveRun;

    RefusalFactory(final ServingState state, final Admission admission) {
        mState = state;
        mAdmission = admission;
    }

    /** Notes that the request may have run, or be running; that can't be taken back. */
    void markMayHaveRun() {
        mMayHaveRun = true;
    }

    /**
     * Refuses a request for which nothing more is tried. One that did not run costs its customer
     * nothing.
     *
     * @param reason what is logged and told
     */
    Refusal givenUpRefusal(final String reason) {
        if (mMayHaveRun) {
            return Refusal.mayHaveRun(reason);
        }
        mAdmission.spend().ifPresent(mState.quotas()::refund);
        return Refusal.notRun(reason, retryAfter());
    }

    /**
     * Refuses a request whose time is up.
     *
     * @param reason what is logged and told
     */
    Refusal timeoutRefusal(final String reason) {
        return mMayHaveRun ? Refusal.timedOut() : givenUpRefusal(reason);
    }

    private Duration retryAfter() {
        final Duration left = Duration.between(mState.clock().instant(), mAdmission.deadline());
        if (left.isNegative()) {
            return Duration.ZERO;
        }
        final Duration part = left.dividedBy(RETRY_AFTER_DIVISOR);
        return part.compareTo(MAX_RETRY_AFTER) < 0 ? part : MAX_RETRY_AFTER;
    }
}
