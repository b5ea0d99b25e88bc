package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.endpoint.EndpointFailure;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.rollout.RolloutAttempt;
import org.whinhead.serving.route.Route;

/** Tells a roll-out what became of one request's sends, as far as that speaks of a version. */
final class TrialRecorder {

    private final ServingState mState;
    private final Route mRoute;
    private Optional<RolloutAttempt> mTrial = Optional.empty();
    private Instant mSentAt;
    private Duration mExpectedPromptTime = Duration.ZERO;

    TrialRecorder(final ServingState state, final Route route) {
        mState = state;
        mRoute = route;
    }

    void attemptSent(final Placement placement) {
        mSentAt = mState.clock().instant();
        mTrial = mState.rollouts().startAttempt(mRoute.name(), placement.endpoint());
        mExpectedPromptTime = placement.expectedPrefill();
    }

    /**
     * Notes a stream's first token. The time that reading its prompt takes is taken off: endpoints
     * that have just been started have no prompt cached, at any version.
     */
    void firstToken() {
        recordLatency(elapsed().minus(mExpectedPromptTime));
    }

    /** Notes a whole answer. */
    void answered(final boolean failure) {
        if (failure) {
            mTrial.ifPresent(RolloutAttempt::recordFailure);
        } else {
            recordLatency(elapsed());
        }
    }

    /** Notes an answer that can't go to the caller. */
    void responseRejected(final Verdict verdict) {
        if (verdict != Verdict.NOT_RUN) {
            mTrial.ifPresent(RolloutAttempt::recordFailure);
        }
    }

    /** Notes the end of a connection; only bytes that are no answer speak of the version. */
    void connectionFailed(final EndpointFailure failure) {
        if (failure == EndpointFailure.NOT_HTTP) {
            mTrial.ifPresent(RolloutAttempt::recordFailure);
        }
    }

    /** Notes that nobody waits any longer for an answer that should have come by now. */
    void attemptAbandoned() {
        if (mSentAt != null && elapsed().compareTo(mRoute.targetLatency()) > 0) {
            recordLatency(elapsed());
        }
    }

    /** Notes that the endpoint no longer works on the request; what comes later is not its own. */
    void attemptEnded() {
        mTrial = Optional.empty();
    }

    private void recordLatency(final Duration taken) {
        mTrial.ifPresent(trial -> trial.recordAnswer(taken.isNegative() ? Duration.ZERO : taken));
    }

    private Duration elapsed() {
        return Duration.between(mSentAt, mState.clock().instant());
    }
}
