package org.whinhead.requests;

import java.util.EnumSet;
import java.util.Set;

/** Chooses the recovery step after a failed attempt. */
final class RecoveryPlanner {

    /** The recovery steps. */
    enum Step {
        /** Resume the stream at the same engine. */
        RESUME,
        /** Dispatch the request again, from the delivered text if there is any. */
        REDISPATCH,
        /** Dispatch the request again from its start, because its text cannot be continued. */
        START_OVER,
        /** End the request: the endpoint's error is final. */
        ANSWER_ERROR,
        /** End the request: it may have run and must not run again. */
        MUST_NOT_REPEAT,
        /** End the request: the maximum number of dispatches is reached. */
        SPENT
    }

    private static final Set<AttemptFailure> CONNECTION_FAILURES =
            EnumSet.of(AttemptFailure.CUT_BEFORE_ANSWER, AttemptFailure.CUT_DURING_ANSWER);

    private final int mMaxDispatches;
    private final boolean mKeepsWork;
    private final LeavingEndpoints mLeaving;

    RecoveryPlanner(final RequestSettings settings, final LeavingEndpoints leaving) {
        mMaxDispatches = settings.maxDispatches();
        mKeepsWork = settings.recovery().keepsWork();
        mLeaving = leaving;
    }

    /** Returns the step for a failure whose verdict has already been added to the request. */
    Step plan(final RequestState state, final Attempt attempt, final AttemptFailure failure) {
        if (failure == AttemptFailure.REJECTED) {
            return attempt.kind() == AttemptKind.CONTINUE && state.spec().idempotent()
                    ? redispatch(state, Step.START_OVER)
                    : Step.ANSWER_ERROR;
        }
        if (canResume(state, attempt, failure)) {
            return Step.RESUME;
        }
        return redispatch(state, Step.REDISPATCH);
    }

    private Step redispatch(final RequestState state, final Step step) {
        if (!state.verdict().allowsAnotherAttempt(state.spec().idempotent())) {
            return Step.MUST_NOT_REPEAT;
        }
        return state.possibleRuns() >= mMaxDispatches ? Step.SPENT : step;
    }

    /**
     * Returns whether to resume the stream. Only one resumption is tried until a new token arrives,
     * so that an engine which accepts connections and then cuts them is eventually abandoned. A
     * silent engine is only retried if the request is not idempotent and so must not run elsewhere.
     */
    private boolean canResume(
            final RequestState state, final Attempt attempt, final AttemptFailure failure) {
        final boolean worthwhile =
                CONNECTION_FAILURES.contains(failure)
                        || (failure == AttemptFailure.SILENT && !state.spec().idempotent());
        return worthwhile
                && mKeepsWork
                && attempt.hasStream()
                && !isComparingText(state, attempt)
                && !state.isResumeTried()
                && mLeaving.goneBy(attempt.endpoint().id()).isEmpty();
    }

    /**
     * Returns whether a restarted stream is still being compared, which a resumption would skip.
     */
    private static boolean isComparingText(final RequestState state, final Attempt attempt) {
        return attempt.isComparingText() && state.delivered().tokens() > 0;
    }
}
