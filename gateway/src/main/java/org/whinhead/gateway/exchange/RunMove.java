package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.whinhead.gateway.endpoint.MoveOutcome;
import org.whinhead.gateway.endpoint.MovedRun;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * The move of a run from a leaving endpoint to another one.
 *
 * <p>The run continues only after both the source's reply and the end of the source's stream, since
 * the last events of the stream may arrive after the reply.
 */
final class RunMove {

    /** The time for which the last events of a stopped run are awaited after the source's reply. */
    private static final Duration STREAM_END_TIMEOUT = Duration.ofMillis(150);

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final Placement mSource;
    private final Placement mTarget;
    private final Listener mListener;
    private Placement mContinueAt;
    private MovedRun mRun;
    private boolean mStreamEnded;
    private boolean mFinished;

    private RunMove(
            final Exchanges exchanges,
            final AdmittedRequest admission,
            final Placement source,
            final Placement target,
            final Listener listener) {
        mExchanges = exchanges;
        mAdmission = admission;
        mSource = source;
        mTarget = target;
        mListener = listener;
    }

    /** Receives the outcome of the move. */
    interface Listener {

        /** Called when the run was stopped and can continue at the placement. */
        void runMoved(Placement at, MovedRun run);

        /** The run was not stopped, or that is unknown; its stream has ended or may continue. */
        void moveFailed(boolean streamEnded);
    }

    /**
     * Starts to move a run, if there is another endpoint and the retry budget allows it.
     *
     * @param exchanges the parts of this daemon
     * @param admission the request of the run
     * @param candidates the endpoints that may continue the run's stream
     * @param source the endpoint that leaves
     * @param listener receives the outcome
     */
    static Optional<RunMove> start(
            final Exchanges exchanges,
            final AdmittedRequest admission,
            final List<EndpointEntry> candidates,
            final Placement source,
            final Listener listener) {
        final ServingState state = exchanges.state();
        final Instant now = state.clock().instant();
        final Optional<Placement> target =
                state.chooser()
                        .place(
                                state.selection().withoutLimit(candidates),
                                admission.request().work(),
                                Set.of(source.endpoint().id()),
                                false,
                                now);
        if (target.isEmpty()) {
            return Optional.empty();
        }
        if (!state.retryBudget().tryRetry(source.endpoint().service(), now)) {
            target.get().release();
            return Optional.empty();
        }
        final RunMove move = new RunMove(exchanges, admission, source, target.get(), listener);
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
        // Without a copy, only the source, which has stopped the run, can continue it.
        mContinueAt = outcome.copied() ? mTarget : mSource;
        if (mStreamEnded) {
            complete();
        } else {
            mExchanges
                    .loop()
                    .schedule(this::complete, STREAM_END_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Records that the source's stream has ended. */
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

    /** Cancels the move; the listener is not called any more. */
    void cancel() {
        mFinished = true;
        mTarget.release();
    }
}
