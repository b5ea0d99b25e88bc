package org.whinhead.requests;

import java.time.Instant;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Verdict;

/** Carries a request on after its live attempt failed. */
final class Recovery {

    /** Failures after which the endpoint may still work on the request. */
    private static final Set<AttemptFailure> MAY_RUN_ON =
            EnumSet.of(
                    AttemptFailure.CUT_BEFORE_ANSWER,
                    AttemptFailure.CUT_DURING_ANSWER,
                    AttemptFailure.SILENT);

    private final CoordinatorContext mWiring;
    private final ActiveRequests mEndings;
    private final AttemptLauncher mLauncher;
    private final LeavingEndpoints mLeaving;
    private final RecoveryPlanner mPlanner;

    Recovery(
            final CoordinatorContext wiring,
            final ActiveRequests endings,
            final AttemptLauncher launcher,
            final LeavingEndpoints leaving) {
        mWiring = wiring;
        mEndings = endings;
        mLauncher = launcher;
        mLeaving = leaving;
        mPlanner = new RecoveryPlanner(wiring.settings(), leaving);
    }

    /** The live attempt failed. */
    void handleFailure(
            final RequestState state,
            final Attempt attempt,
            final AttemptFailure failure,
            final String detail,
            final Instant now) {
        mWiring.log().add(attempt, DecisionKind.ATTEMPT_FAILED, failure + " " + detail, now);
        if (failure.countsAgainstEndpoint()) {
            mWiring.router().attemptFailed(attempt.endpoint().id(), state.spec(), now);
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
            case ANSWER_ERROR -> mEndings.giveUp(state, ErrorCode.ENDPOINT_ERROR, detail, now);
            case SPENT -> mEndings.giveUp(state, ErrorCode.RETRIES_SPENT, detail, now);
            default -> mEndings.giveUp(state, ErrorCode.ENDPOINT_LOST, detail, now);
        }
    }

    /**
     * The live attempt must be left, because its engine leaves or its stream is not this answer's.
     */
    void abandon(
            final RequestState state,
            final Attempt attempt,
            final RecoveryCause cause,
            final Instant now) {
        mWiring.log().add(attempt, DecisionKind.ATTEMPT_FAILED, cause.name(), now);
        state.addVerdict(Verdict.MAY_HAVE_RUN);
        state.triedEndpoints().add(attempt.endpoint().id());
        mEndings.cancelAttempt(state, attempt, now);
        state.setCause(Optional.of(cause));
        state.setExemptFromRetryBudget(cause.isExemptFromRetryBudget());
        redispatchIfAllowed(state, cause.name(), now);
    }

    /** Sends a request out again that has no attempt in progress, if it may be. */
    void redispatchIfAllowed(final RequestState state, final String detail, final Instant now) {
        if (!state.verdict().allowsAnotherAttempt(state.spec().idempotent())) {
            mEndings.giveUp(state, ErrorCode.ENDPOINT_LOST, detail, now);
        } else if (state.possibleRuns() >= mWiring.settings().maxDispatches()) {
            mEndings.giveUp(state, ErrorCode.RETRIES_SPENT, detail, now);
        } else {
            mLauncher.dispatch(state, now);
        }
    }

    /**
     * Adds what the failure says of the whole request. Only a dispatch can say that nothing ran or
     * that the request itself was rejected: a failed resumption says nothing about the run whose
     * stream it wanted, and a rejected continuation nothing about the request.
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
        mWiring.actions().release(attempt.id());
        final Endpoint endpoint = attempt.endpoint();
        mLauncher.resume(state, endpoint, attempt.streamId(), attempt.firstIndex(), now);
    }

    private void endAttempt(
            final RequestState state,
            final Attempt attempt,
            final AttemptFailure failure,
            final Instant now) {
        state.triedEndpoints().add(attempt.endpoint().id());
        if (MAY_RUN_ON.contains(failure)) {
            mEndings.cancelAttempt(state, attempt, now);
        } else {
            mEndings.endAttempt(state, attempt, now);
        }
    }

    /**
     * Notes why the next dispatch repeats work; nothing is repeated if this attempt did not run.
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
        mWiring.counters().subtract(cause, attempt.recomputedTokens());
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
