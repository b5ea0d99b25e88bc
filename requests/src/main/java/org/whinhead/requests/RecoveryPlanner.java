package org.whinhead.requests;

import java.util.EnumSet;
import java.util.Set;

/** Decides what follows a failed attempt. */
final class RecoveryPlanner {

    /** What follows. */
    enum Step {
        /** Read the stream on at the same engine. */
        RESUME,
        /** Send the request out again, from the delivered text if there is any. */
        REDISPATCH,
        /** Send the request out again from its start, because its text cannot be continued. */
        START_OVER,
        /** Answer the caller now: the endpoint's error is final. */
        ANSWER_ERROR,
        /** Answer the caller now: the request may have run and must not run again. */
        MUST_NOT_REPEAT,
        /** Answer the caller now: it was sent out often enough. */
        SPENT
    }

    private static final Set<AttemptFailure> CONNECTION_ALONE =
            EnumSet.of(AttemptFailure.CUT_BEFORE_ANSWER, AttemptFailure.CUT_DURING_ANSWER);

    private final int mMaxDispatches;
    private final boolean mKeepsWork;
    private final LeavingEndpoints mLeaving;

    RecoveryPlanner(final RequestSettings settings, final LeavingEndpoints leaving) {
        mMaxDispatches = settings.maxDispatches();
        mKeepsWork = settings.recovery().keepsWork();
        mLeaving = leaving;
    }

    /** Decides, after the failure's verdict was added to the request. */
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
     * Tells whether the stream may still be there. Only one resumption is tried for each piece of
     * progress, so that an engine which accepts connections and then cuts them is left in the end.
     * A silent engine is only asked again when the request may not run elsewhere.
     */
    private boolean canResume(
            final RequestState state, final Attempt attempt, final AttemptFailure failure) {
        final boolean worthwhile =
                CONNECTION_ALONE.contains(failure)
                        || (failure == AttemptFailure.SILENT && !state.spec().idempotent());
        return worthwhile
                && mKeepsWork
                && attempt.hasStream()
                && !isComparingText(state, attempt)
                && !state.isResumeTried()
                && mLeaving.goneBy(attempt.endpoint().id()).isEmpty();
    }

    /** Tells whether a restarted stream is still being compared, which a resumption would skip. */
    private static boolean isComparingText(final RequestState state, final Attempt attempt) {
        return attempt.isComparingText() && state.delivered().tokens() > 0;
    }
}
