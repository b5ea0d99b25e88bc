package org.whinhead.gateway.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.serving.rollout.RolloutController;
import org.whinhead.serving.rollout.RolloutRecord;
import org.whinhead.serving.rollout.RolloutState;

/** One roll-out at the holder: what is recorded of it, and what operators were told. */
final class HeldRollout {

    private final RolloutController mController;
    private RolloutRecord mWanted;
    private RolloutState mRecorded;
    private RolloutState mTold;
    private RolloutController.Decision mDecision;
    private Instant mToldAt;

    HeldRollout(final RolloutController controller, final RolloutRecord first) {
        mController = controller;
        mWanted = first;
    }

    RolloutController controller() {
        return mController;
    }

    /** Takes a decision, and tells whether it differs from the one before. */
    boolean decided(final RolloutController.Decision decision) {
        final boolean changed =
                mDecision == null
                        || mDecision.state() != decision.state()
                        || !mDecision.reason().equals(decision.reason());
        mDecision = decision;
        if (decision.state() != mWanted.state()) {
            mWanted =
                    new RolloutRecord(
                            mWanted.service(),
                            mWanted.version(),
                            mWanted.order(),
                            mWanted.startedAt(),
                            decision.state());
        }
        return changed;
    }

    RolloutController.Decision decision() {
        return mDecision;
    }

    /** Returns what has to be recorded, or told operators, next. */
    RolloutRecord wanted() {
        return mWanted;
    }

    boolean isRecorded() {
        return mWanted.state() == mRecorded;
    }

    boolean isTold() {
        return mWanted.state() == mTold;
    }

    void recorded(final RolloutRecord record) {
        mRecorded = record.state();
    }

    void told(final RolloutRecord record, final Instant now) {
        mTold = record.state();
        mToldAt = now;
    }

    /** Returns the state that daemons may be told: an end only once it is recorded. */
    RolloutState tellable() {
        return isRecorded() ? mWanted.state() : RolloutState.RUNNING;
    }

    /** Tells whether the end is recorded, and was told everybody for long enough. */
    boolean isOver(final Duration toldFor, final Instant now) {
        return mWanted.state().isFinal()
                && isTold()
                && Optional.ofNullable(mToldAt)
                        .filter(at -> now.isAfter(at.plus(toldFor)))
                        .isPresent();
    }
}
