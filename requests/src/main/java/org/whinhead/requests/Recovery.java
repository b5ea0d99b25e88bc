package org.whinhead.requests;

import java.time.Instant;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Verdict;

/** Resumes, redispatches or ends a request after its live attempt failed. */
final class Recovery {

    /** Failures after which the endpoint may still process the request. */
    private static final Set<AttemptFailure> MAY_STILL_RUN =
            EnumSet.of(
                    AttemptFailure.CUT_BEFORE_ANSWER,
                    AttemptFailure.CUT_DURING_ANSWER,
                    AttemptFailure.SILENT);

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private final AttemptLauncher mLauncher;
    private final LeavingEndpoints mLeaving;
    private final RecoveryPlanner mPlanner;

    Recovery(
            final CoordinatorContext context,
            final ActiveRequests activeRequests,
            final AttemptLauncher launcher,
            final LeavingEndpoints leaving) {
        mContext = context;
        mActiveRequests = activeRequests;
        mLauncher = launcher;
        mLeaving = leaving;
        mPlanner = new RecoveryPlanner(context.settings(), leaving);
    }

    /** Handles the failure of the live attempt. */
    void handleFailure(
            final RequestState state,
            final Attempt attempt,
            final AttemptFailure failure,
            final String detail,
            final Instant now) {
        mContext.log().add(attempt, DecisionKind.ATTEMPT_FAILED, failure + " " + detail, now);
        if (failure.countsAgainstEndpoint()) {
            mContext.router().attemptFailed(attempt.endpoint().id(), state.spec(), now);
        }
        addVerdict(state, attempt, failure);
        final RecoveryPlanner.Step step = mPlanner.plan(state, attempt, failure);
        if (step == RecoveryPlanner.Step.RESUME) {
            resume(state, attempt, now);
            return;
        }
        endAttempt(state, attempt, failure, now);
        recordCause(state, attempt, failure);
        switch (step) {
            case START_OVER -> {
                state.requireStartOver();
                mLauncher.retryLater(state, ErrorCode.ENDPOINT_LOST, now);
            }
            case REDISPATCH -> redispatch(state, attempt, failure, now);
            case ANSWER_ERROR ->
                    mActiveRequests.giveUp(state, ErrorCode.ENDPOINT_ERROR, detail, now);
            case SPENT -> mActiveRequests.giveUp(state, ErrorCode.RETRIES_SPENT, detail, now);
            default -> mActiveRequests.giveUp(state, ErrorCode.ENDPOINT_LOST, detail, now);
        }
    }

    /**
     * Cancels the live attempt, because its engine leaves or its stream does not match the answer,
     * and redispatches the request if allowed.
     */
    void abandon(
            final RequestState state,
            final Attempt attempt,
            final RecoveryCause cause,
            final Instant now) {
        mContext.log().add(attempt, DecisionKind.ATTEMPT_FAILED, cause.name(), now);
        state.addVerdict(Verdict.MAY_HAVE_RUN);
        state.triedEndpoints().add(attempt.endpoint().id());
        mActiveRequests.cancelAttempt(state, attempt, now);
        state.setCause(Optional.of(cause));
        state.setExemptFromRetryBudget(cause.isExemptFromRetryBudget());
        redispatchIfAllowed(state, cause.name(), now);
    }

    /**
     * Redispatches a request without an attempt in progress, or ends it if no dispatch is allowed.
     */
    void redispatchIfAllowed(final RequestState state, final String detail, final Instant now) {
        if (!state.verdict().allowsAnotherAttempt(state.spec().idempotent())) {
            mActiveRequests.giveUp(state, ErrorCode.ENDPOINT_LOST, detail, now);
        } else if (state.possibleRuns() >= mContext.settings().maxDispatches()) {
            mActiveRequests.giveUp(state, ErrorCode.RETRIES_SPENT, detail, now);
        } else {
            mLauncher.dispatch(state, now);
        }
    }

    /**
     * Updates the verdict on the request. Only a failed dispatch shows that nothing ran, and only a
     * failed dispatch from the start shows that the request itself was rejected: a failed
     * resumption is no evidence about the run of its stream, nor a rejected continuation about the
     * request.
     */
    private static void addVerdict(
            final RequestState state, final Attempt attempt, final AttemptFailure failure) {
        if (didNotRun(attempt, failure)) {
            state.subtractPossibleRun();
        }
        if (attempt.kind() == AttemptKind.START) {
            state.addVerdict(failure.verdict());
        } else if (failure.verdict() != Verdict.NOT_RUN || !attempt.kind().isDispatch()) {
            state.addVerdict(Verdict.MAY_HAVE_RUN);
        }
    }

    private void resume(final RequestState state, final Attempt attempt, final Instant now) {
        state.setResumeTried(true);
        mContext.actions().release(attempt.id());
        final Endpoint endpoint = attempt.endpoint();
        mLauncher.resume(state, endpoint, attempt.streamId(), attempt.firstIndex(), now);
    }

    private void endAttempt(
            final RequestState state,
            final Attempt attempt,
            final AttemptFailure failure,
            final Instant now) {
        state.triedEndpoints().add(attempt.endpoint().id());
        if (MAY_STILL_RUN.contains(failure)) {
            mActiveRequests.cancelAttempt(state, attempt, now);
        } else {
            mActiveRequests.endAttempt(state, attempt, now);
        }
    }

    /**
     * Records why the next dispatch repeats work; an attempt that did not run causes no repetition.
     */
    private void recordCause(
            final RequestState state, final Attempt attempt, final AttemptFailure failure) {
        if (didNotRun(attempt, failure)) {
            attempt.cause().ifPresent(cause -> revertRecomputedTokens(state, attempt, cause));
            return;
        }
        state.setCause(Optional.of(causeOf(state, attempt, failure)));
    }

    private void revertRecomputedTokens(
            final RequestState state, final Attempt attempt, final RecoveryCause cause) {
        state.addRecomputedTokens(-attempt.recomputedTokens());
        mContext.counters().subtract(cause, attempt.recomputedTokens());
        state.setCause(Optional.of(cause));
    }

    private RecoveryCause causeOf(
            final RequestState state, final Attempt attempt, final AttemptFailure failure) {
        if (state.dispatches() == 0) {
            return RecoveryCause.CALLER_RETURNED;
        }
        if (mLeaving.goneBy(attempt.endpoint().id()).isPresent()) {
            return RecoveryCause.ENGINE_LEFT;
        }
        return failure == AttemptFailure.SILENT
                ? RecoveryCause.ENGINE_SILENT
                : RecoveryCause.ENGINE_FAILED;
    }

    private static boolean didNotRun(final Attempt attempt, final AttemptFailure failure) {
        return failure.verdict() == Verdict.NOT_RUN && attempt.kind().isDispatch();
    }

    private void redispatch(
            final RequestState state,
            final Attempt attempt,
            final AttemptFailure failure,
            final Instant now) {
        if (didNotRun(attempt, failure)) {
            mLauncher.retryWithinPatience(state, ErrorCode.RETRIES_SPENT, now);
            return;
        }
        if (mLeaving.goneBy(attempt.endpoint().id()).isPresent()) {
            state.setExemptFromRetryBudget(true);
            mLauncher.dispatch(state, now);
            return;
        }
        mLauncher.retryLater(state, ErrorCode.ENDPOINT_LOST, now);
    }
}
