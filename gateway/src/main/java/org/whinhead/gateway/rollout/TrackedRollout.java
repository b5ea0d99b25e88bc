package org.whinhead.gateway.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.serving.rollout.RolloutController;
import org.whinhead.serving.rollout.RolloutRecord;
import org.whinhead.serving.rollout.RolloutState;

/** One roll-out at the holder: what is recorded of it, and what operators were told. */
final class TrackedRollout {

    private final RolloutController mController;
    private RolloutRecord mPendingRecord;
    private RolloutState mRecordedState;
    private RolloutState mPublishedState;
    private RolloutController.Decision mDecision;
    private Instant mPublishedAt;

    TrackedRollout(final RolloutController controller, final RolloutRecord first) {
        mController = controller;
        mPendingRecord = first;
    }

    RolloutController controller() {
        return mController;
    }

    /** Takes a decision, and tells whether it differs from the one before. */
    boolean applyDecision(final RolloutController.Decision decision) {
        final boolean changed =
                mDecision == null
                        || mDecision.state() != decision.state()
                        || !mDecision.reason().equals(decision.reason());
        mDecision = decision;
        if (decision.state() != mPendingRecord.state()) {
            mPendingRecord =
                    new RolloutRecord(
                            mPendingRecord.service(),
                            mPendingRecord.version(),
                            mPendingRecord.order(),
                            mPendingRecord.startedAt(),
                            decision.state());
        }
        return changed;
    }

    RolloutController.Decision decision() {
        return mDecision;
    }

    /** Returns what has to be recorded, or told operators, next. */
    RolloutRecord pendingRecord() {
        return mPendingRecord;
    }

    boolean isRecorded() {
        return mPendingRecord.state() == mRecordedState;
    }

    boolean isPublished() {
        return mPendingRecord.state() == mPublishedState;
    }

    void markRecorded(final RolloutRecord record) {
        mRecordedState = record.state();
    }

    void markPublished(final RolloutRecord record, final Instant now) {
        mPublishedState = record.state();
        mPublishedAt = now;
    }

    /** Returns the state that daemons may be told: an end only once it is recorded. */
    RolloutState announcedState() {
        return isRecorded() ? mPendingRecord.state() : RolloutState.RUNNING;
    }

    /** Tells whether the end is recorded, and was told everybody for long enough. */
    boolean isFinished(final Duration toldFor, final Instant now) {
        return mPendingRecord.state().isFinal()
                && isPublished()
                && Optional.ofNullable(mPublishedAt)
                        .filter(at -> now.isAfter(at.plus(toldFor)))
                        .isPresent();
    }
}
