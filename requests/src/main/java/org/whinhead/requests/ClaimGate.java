package org.whinhead.requests;

import java.time.Instant;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

/**
 * Lets a non-idempotent request through to its first dispatch only with a granted claim.
 *
 * <p>Guards against a second run through another daemon, which would show as a doubled effect at
 * the service. The claim is first in the log's order, so at most one daemon is ever granted it; an
 * outcome is taken only by a request that still waits for it and is not late.
 */
final class ClaimGate {

    private final Wiring mWiring;
    private final Endings mEndings;
    private final AttemptLauncher mLauncher;

    ClaimGate(final Wiring wiring, final Endings endings, final AttemptLauncher launcher) {
        mWiring = wiring;
        mEndings = endings;
        mLauncher = launcher;
    }

    /** Takes in an admitted request. */
    void admitted(final RequestState state, final Instant now) {
        if (state.isLate(now)) {
            mEndings.giveUp(state, ErrorCode.DEADLINE_PASSED, "while waiting", now);
        } else if (state.spec().idempotent()) {
            mLauncher.dispatch(state, now);
        } else {
            state.setPhase(RequestState.Phase.CLAIMING);
            mWiring.log().add(state, DecisionKind.CLAIM_ASKED, "", now);
            mWiring.actions().claim(state.id());
        }
    }

    /**
     * A claim was decided.
     *
     * <p>Outcomes for a request that does not wait for one are dropped, so a repeated grant cannot
     * dispatch twice. A granted claim of a request that has ended is not given up either: the grant
     * may be a late copy of one whose dispatch ran.
     */
    void decided(final RequestState state, final ClaimOutcome outcome, final Instant now) {
        if (state.phase() != RequestState.Phase.CLAIMING) {
            return;
        }
        mWiring.log().add(state, DecisionKind.CLAIM_DECIDED, outcome.name(), now);
        switch (outcome) {
            case GRANTED -> {
                state.setClaimHeld();
                mLauncher.dispatch(state, now);
            }
            case HELD_ELSEWHERE -> {
                state.addVerdict(Verdict.MAY_HAVE_RUN);
                mEndings.giveUp(state, ErrorCode.ALREADY_CLAIMED, state.id().value(), now);
            }
            case UNAVAILABLE -> {
                final Refusal refusal =
                        Refusal.notRun(ErrorCode.CLAIM_UNAVAILABLE, state.id().value());
                final Refusal timed = refusal.withRetryAfter(mWiring.settings().comeBackAfter());
                mEndings.refuse(state, timed, now);
            }
            default -> throw new IllegalArgumentException("unknown outcome " + outcome);
        }
    }
}
