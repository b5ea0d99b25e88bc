package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.util.List;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Creates the refusal of a request without a response, by whether the request may have run. */
final class RefusalFactory {

    /** The upper limit of the retry delay sent to callers whose request did not run. */
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(300);

    /** The retry delay is the caller's remaining time divided by this. */
    private static final int RETRY_AFTER_DIVISOR = 12;

    /** The reason why requests are held back under which endpoints crash. */
    static final String SUSPECT = "endpoints crash under this request";

    /** The reason why requests are refused that may last longer than this process. */
    static final String STOPPING = "stopping";

    /** The reason why requests are refused whose endpoints all take no more now. */
    static final String AT_REQUEST_LIMIT = "endpoints at their limits of requests per second";

    /** The reason why requests are refused if this daemon may open no connection. */
    static final String NO_CONNECTION = "all endpoints at this daemon's part of their connections";

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The longest time between two permits that a refusal tells. */
    private static final double MAX_PERMIT_MILLIS = 5_000;

    /** The time after a pause over which callers return, by rank and then by chance. */
    private static final double MAX_RETURN_MILLIS = 800;

    /** The ranks told apart among them; less urgent ones return with the last of these. */
    private static final int RETURN_RANKS = 4;

    /** Callers heed a retry delay up to their remaining time divided by this. */
    private static final int HEEDED_DIVISOR = 3;

    private final ServingState mState;
    private final AdmittedRequest mAdmission;
    private boolean mMayHaveRun;

    RefusalFactory(final ServingState state, final AdmittedRequest admission) {
        mState = state;
        mAdmission = admission;
    }

    /** Records that the request may have run or be running; this is final. */
    void markMayHaveRun() {
        mMayHaveRun = true;
    }

    /**
     * Returns the refusal of a request that is not tried any further. If the request did not run,
     * its customer gets the tokens back.
     *
     * @param reason the reason for the log and the caller
     */
    RefusalResponse givenUpRefusal(final String reason) {
        if (mMayHaveRun) {
            return RefusalResponse.mayHaveRun(reason);
        }
        mAdmission.spend().ifPresent(mState.quotas()::refund);
        return RefusalResponse.notRun(reason, retryAfter());
    }

    /**
     * Returns the refusal of a request that is held back as endpoints crash under requests like it.
     * If it was not sent to any, its customer gets the tokens back.
     *
     * @param retryAfter the delay after which it may be sent
     */
    RefusalResponse suspectRefusal(final Duration retryAfter) {
        if (mMayHaveRun) {
            return RefusalResponse.mayHaveRun(SUSPECT);
        }
        mAdmission.spend().ifPresent(mState.quotas()::refund);
        return RefusalResponse.notRun(SUSPECT, retryAfter);
    }

    /**
     * Returns the refusal of a request that may last longer than this process. If it did not run,
     * its customer gets the tokens back, and its caller should turn to another daemon at once.
     */
    RefusalResponse stoppingRefusal() {
        if (mMayHaveRun) {
            return RefusalResponse.mayHaveRun(STOPPING);
        }
        mAdmission.spend().ifPresent(mState.quotas()::refund);
        return RefusalResponse.notRun(STOPPING, Duration.ZERO);
    }

    /**
     * Returns the refusal of a request that was never sent, as its service has no capacity for it.
     * Its customer gets the tokens back.
     *
     * @param reason the reason for the log and the caller
     * @param retryAfter the delay after which it may succeed
     */
    RefusalResponse notAdmittedRefusal(final String reason, final Duration retryAfter) {
        mAdmission.spend().ifPresent(mState.quotas()::refund);
        return RefusalResponse.notRun(reason, retryAfter);
    }

    /**
     * Returns the refusal of a request whose endpoints all name limits of requests per second that
     * are used up. If it was not sent to any, its customer gets the tokens back.
     *
     * <p>Its caller should return at the next free time. Different requests are told different
     * times between that one and the one after it, as all that come at once can't be served.
     *
     * @param endpoints the endpoints
     */
    RefusalResponse requestLimitRefusal(final List<EndpointEntry> endpoints) {
        if (mMayHaveRun) {
            return RefusalResponse.mayHaveRun(AT_REQUEST_LIMIT);
        }
        mAdmission.spend().ifPresent(mState.quotas()::refund);
        final EndpointSelection selection = mState.selection();
        final double between =
                Math.min(
                        MILLIS_PER_SECOND / selection.requestsPerSecond(endpoints),
                        MAX_PERMIT_MILLIS);
        return RefusalResponse.notRun(
                AT_REQUEST_LIMIT,
                selection.untilFree(endpoints).plusMillis(Math.round(between * spread())));
    }

    /**
     * Returns the refusal of a request whose endpoints have all asked this daemon for a pause. If
     * it did not run, its customer gets the tokens back.
     *
     * <p>Its caller should return once the first pause has ended. The endpoint takes few requests
     * at first, so callers are told different times after that, the more urgent ones earlier. A
     * caller heeds no longer delay than a part of its time.
     *
     * @param reason the reason for the log and the caller
     * @param wait the time until the first pause ends
     */
    RefusalResponse pausedRefusal(final String reason, final Duration wait) {
        if (mMayHaveRun) {
            return RefusalResponse.mayHaveRun(reason);
        }
        mAdmission.spend().ifPresent(mState.quotas()::refund);
        final int rank = Math.min(Math.max(mAdmission.priority(), 0), RETURN_RANKS - 1);
        final double place = (rank + spread()) / RETURN_RANKS;
        final Duration returned = wait.plusMillis(Math.round(MAX_RETURN_MILLIS * place));
        final Duration heeded = timeLeft().dividedBy(HEEDED_DIVISOR);
        return RefusalResponse.notRun(reason, returned.compareTo(heeded) < 0 ? returned : heeded);
    }

    /** Returns a part from 0 to 1 that differs between requests. */
    private double spread() {
        return (double) Integer.toUnsignedLong(mAdmission.request().id().hashCode())
                / (1L << Integer.SIZE);
    }

    /** Returns the time that the caller still waits; zero once it has passed. */
    private Duration timeLeft() {
        final Duration left = Duration.between(mState.clock().instant(), mAdmission.deadline());
        return left.isNegative() ? Duration.ZERO : left;
    }

    /**
     * Returns the refusal of a request for the rest of a stream that can't continue. If the request
     * did not run, its customer gets the tokens back.
     *
     * @param reason the reason for the log and the caller
     */
    RefusalResponse cannotContinueRefusal(final String reason) {
        if (mMayHaveRun) {
            return RefusalResponse.mayHaveRun(reason);
        }
        mAdmission.spend().ifPresent(mState.quotas()::refund);
        return RefusalResponse.notRunForGood(reason);
    }

    /**
     * Returns the refusal of a request whose deadline has passed.
     *
     * @param reason the reason for the log and the caller
     */
    RefusalResponse timeoutRefusal(final String reason) {
        return mMayHaveRun ? RefusalResponse.timedOut() : givenUpRefusal(reason);
    }

    private Duration retryAfter() {
        final Duration part = timeLeft().dividedBy(RETRY_AFTER_DIVISOR);
        return part.compareTo(MAX_RETRY_AFTER) < 0 ? part : MAX_RETRY_AFTER;
    }
}
