package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.whinhead.gateway.endpoint.MoveOutcome;
import org.whinhead.gateway.endpoint.MovedRun;
import org.whinhead.serving.balance.Placement;

/**
 * A run on its way from a leaving endpoint to another one.
 *
 * <p>It goes on only once two things have come: the source's answer, and the end of the source's
 * stream, whose last events may still be on the way when the answer is there.
 */
final class RunMove {

    /** How long the last events of a stopped run may take behind the answer that it was stopped. */
    private static final Duration STREAM_END_TIMEOUT = Duration.ofMillis(150);

    private final Exchanges mExchanges;
    private final Admission mAdmission;
    private final Placement mSource;
    private final Placement mTarget;
    private final Listener mListener;
    private Placement mContinueAt;
    private MovedRun mRun;
    private boolean mStreamEnded;
    private boolean mFinished;

    private RunMove(
            final Exchanges exchanges,
            final Admission admission,
            final Placement source,
            final Placement target,
            final Listener owner) {
        mExchanges = exchanges;
        mAdmission = admission;
        mSource = source;
        mTarget = target;
        mListener = owner;
    }

    /** Whose run is moved. */
    interface Listener {

        /** The run was stopped and can go on. */
        void runMoved(Placement at, MovedRun run);

        /** The run was not stopped, or nobody knows; its stream has ended or may still go on. */
        void moveFailed(boolean streamEnded);
    }

    /** Starts to move a run, if there is another endpoint and a retry left for it. */
    static Optional<RunMove> start(
            final Exchanges exchanges,
            final Admission admission,
            final String service,
            final Placement source,
            final Listener owner) {
        final ServingState state = exchanges.state();
        final Instant now = state.clock().instant();
        final Optional<Placement> target =
                state.chooser()
                        .place(
                                state.retryCandidates(service, admission.request().id()),
                                admission.request().work(),
                                Set.of(source.endpoint().id()),
                                false,
                                now);
        if (target.isEmpty()) {
            return Optional.empty();
        }
        if (!state.retryBudget().tryRetry(service, now)) {
            target.get().release();
            return Optional.empty();
        }
        final RunMove move = new RunMove(exchanges, admission, source, target.get(), owner);
        exchanges
                .mover()
                .move(source.endpoint(), admission.request().id(), target.get().endpoint())
                .whenComplete(move::sourceAnswered);
        return Optional.of(move);
    }

    private void sourceAnswered(final MoveOutcome outcome, final Throwable failure) {
        if (mFinished) {
            return;
        }
        mExchanges.requestLogger().moved(mAdmission, mSource.endpoint(), mTarget, outcome, failure);
        if (failure != null || outcome.run().isEmpty()) {
            cancel();
            mListener.moveFailed(mStreamEnded);
            return;
        }
        mRun = outcome.run().get();
        // Without a copy only the source, which has stopped the run, can go on with it.
        mContinueAt = outcome.copied() ? mTarget : mSource;
        if (mStreamEnded) {
            complete();
        } else {
            mExchanges
                    .loop()
                    .schedule(this::complete, STREAM_END_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Notes that the source's stream has ended. */
    void streamEnded() {
        mStreamEnded = true;
        if (mRun != null) {
            complete();
        }
    }

    private void complete() {
        if (!mFinished) {
            mFinished = true;
            mListener.runMoved(mContinueAt, mRun);
        }
    }

    /** Gives the move up. */
    void cancel() {
        mFinished = true;
        mTarget.release();
    }
}
