package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.endpoint.EndpointFailure;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.rollout.RolloutAttempt;
import org.whinhead.serving.route.Route;

/** Reports the outcomes of a request's attempts that depend on the version to the roll-out. */
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
     * Records a stream's first token. The expected time to process the prompt is subtracted, since
     * endpoints that were just started have no prompts cached, whatever their version.
     */
    void firstToken() {
        recordLatency(elapsed().minus(mExpectedPromptTime));
    }

    /** Records a complete response. */
    void answered(final boolean failure) {
        if (failure) {
            mTrial.ifPresent(RolloutAttempt::recordFailure);
        } else {
            recordLatency(elapsed());
        }
    }

    /** Records a response that can't be forwarded to the caller. */
    void responseRejected(final Verdict verdict) {
        if (verdict != Verdict.NOT_RUN) {
            mTrial.ifPresent(RolloutAttempt::recordFailure);
        }
    }

    /**
     * Records the loss of a connection; only bytes that are no response count against the version.
     */
    void connectionFailed(final EndpointFailure failure) {
        if (failure.isInvalidResponse()) {
            mTrial.ifPresent(RolloutAttempt::recordFailure);
        }
    }

    /** Records that a response is no longer awaited, if the target latency has passed. */
    void attemptAbandoned() {
        if (mSentAt != null && elapsed().compareTo(mRoute.targetLatency()) > 0) {
            recordLatency(elapsed());
        }
    }

    /** Records that this daemon has lost its way to the endpoint, which may have answered. */
    void pathLost() {
        mTrial = Optional.empty();
    }

    /** Records that the attempt has ended; later outcomes do not count for its endpoint. */
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
