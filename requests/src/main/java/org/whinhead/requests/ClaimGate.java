package org.whinhead.requests;

import java.time.Instant;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

/**
 * Dispatches a non-idempotent request for the first time only after its claim is granted.
 *
 * <p>Guards against a second run through another daemon, which would double the request's effect at
 * the service. The first claim in log order wins, so at most one daemon is ever granted it; a
 * granted claim leads to a dispatch only if the request still waits for it and is not past its
 * deadline.
 */
final class ClaimGate {

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private final AttemptLauncher mLauncher;

    ClaimGate(
            final CoordinatorContext context,
            final ActiveRequests activeRequests,
            final AttemptLauncher launcher) {
        mContext = context;
        mActiveRequests = activeRequests;
        mLauncher = launcher;
    }

    /** Dispatches an admitted request, or asks for its claim first if it is not idempotent. */
    void handleAdmitted(final RequestState state, final Instant now) {
        if (state.isPastDeadline(now)) {
            mActiveRequests.giveUp(state, ErrorCode.DEADLINE_PASSED, "while waiting", now);
        } else if (state.spec().idempotent()) {
            mLauncher.dispatch(state, now);
        } else {
            state.setPhase(RequestState.Phase.CLAIMING);
            mContext.log().add(state, DecisionKind.CLAIM_ASKED, "", now);
            mContext.actions().claim(state.id());
        }
    }

    /**
     * Handles the outcome of a claim.
     *
     * <p>An outcome for a request that does not wait for one is ignored, so a repeated grant cannot
     * cause a second dispatch. A granted claim of an ended request is not released either: the
     * grant may be a late copy of one whose dispatch ran.
     */
    void handleOutcome(final RequestState state, final ClaimOutcome outcome, final Instant now) {
        if (state.phase() != RequestState.Phase.CLAIMING) {
            return;
        }
        mContext.log().add(state, DecisionKind.CLAIM_DECIDED, outcome.name(), now);
        switch (outcome) {
            case GRANTED -> {
                state.setClaimHeld();
                mLauncher.dispatch(state, now);
            }
            case HELD_ELSEWHERE -> {
                state.addVerdict(Verdict.MAY_HAVE_RUN);
                mActiveRequests.giveUp(state, ErrorCode.ALREADY_CLAIMED, state.id().value(), now);
            }
            case UNAVAILABLE -> {
                final Refusal refusal =
                        Refusal.notRun(ErrorCode.CLAIM_UNAVAILABLE, state.id().value());
                final Refusal withDelay =
                        refusal.withRetryAfter(mContext.settings().comeBackAfter());
                mActiveRequests.refuse(state, withDelay, now);
            }
            default -> throw new IllegalArgumentException("unknown claim outcome " + outcome);
        }
    }
}
