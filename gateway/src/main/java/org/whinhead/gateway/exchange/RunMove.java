package org.whinhead.gateway.exchange;

import org.whinhead.gateway.endpoint.MovedRun;
import org.whinhead.serving.balance.Placement;

/**
 * A run on its way from a leaving endpoint to another one.
 *
 * <p>It goes on only once two things have come: the source's answer, and the end of the source's
 * stream, whose last events may still be on the way when the answer is there.
 */
final class RunMove {

    private final Placement mTarget;
    private Placement mGoesOnAt;
    private MovedRun mRun;
    private boolean mStreamEnded;

    RunMove(final Placement target) {
        mTarget = target;
    }

    Placement target() {
        return mTarget;
    }

    /** Notes that the run was stopped; without a copy, only its source can go on with it. */
    void stopped(final MovedRun run, final Placement goesOnAt) {
        mRun = run;
        mGoesOnAt = goesOnAt;
    }

    void streamEnded() {
        mStreamEnded = true;
    }

    Placement goesOnAt() {
        return mGoesOnAt;
    }

    MovedRun run() {
        return mRun;
    }

    boolean isStreamEnded() {
        return mStreamEnded;
    }

    boolean isComplete() {
        return mRun != null && mStreamEnded;
    }
}
