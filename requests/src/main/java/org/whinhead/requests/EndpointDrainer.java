package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.verdict.Verdict;

/**
 * Drains engines that were announced to leave by moving their streams to other engines.
 *
 * <p>A stream that will finish in time stays. For any other stream, the KV cache is moved to
 * another engine while the old stream still delivers. If the move fails or times out, the answer is
 * continued from the delivered text. Guards against two streams that deliver the same tokens: only
 * the live attempt delivers, the step that makes a move live also ends the old attempt, and an
 * aborted move is cancelled as soon as its stream ID is known.
 */
final class EndpointDrainer {

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private final AttemptLauncher mLauncher;
    private final Recovery mRecovery;
    private final TicketHandler mTicketHandler;
    private final LeavingEndpoints mLeaving;

    EndpointDrainer(
            final CoordinatorContext context,
            final ActiveRequests activeRequests,
            final AttemptLauncher launcher,
            final Recovery recovery,
            final TicketHandler ticketHandler,
            final LeavingEndpoints leaving) {
        mContext = context;
        mActiveRequests = activeRequests;
        mLauncher = launcher;
        mRecovery = recovery;
        mTicketHandler = ticketHandler;
        mLeaving = leaving;
    }

    void startDrain(final EndpointId endpoint, final Instant goneBy, final Instant now) {
        mLeaving.add(endpoint, goneBy);
        for (final RequestState state : mActiveRequests.all()) {
            drainIfNeeded(state, now);
        }
    }

    /** Aborts a move that timed out, or drains the live attempt if its endpoint is leaving. */
    void drainIfNeeded(final RequestState state, final Instant now) {
        if (!mContext.settings().recovery().keepsWork()) {
            return;
        }
        if (state.move().isPresent()) {
            final Attempt move = state.move().get();
            if (!now.isBefore(move.startedAt().plus(mContext.settings().moveTime()))) {
                abortMove(state, move, "too late", now);
            }
            return;
        }
        final Optional<Attempt> live = state.live().filter(a -> a.endpoint().kind().isStreaming());
        final Optional<Instant> goneBy =
                live.flatMap(attempt -> mLeaving.goneBy(attempt.endpoint().id()));
        if (goneBy.isPresent()) {
            leaveEndpoint(state, live.get(), goneBy.get(), now);
        }
    }

    /**
     * Ends a live attempt that failed during a move: the export of the KV cache stops its stream.
     */
    void handleSourceFailure(final RequestState state, final Attempt live, final Instant now) {
        state.addVerdict(Verdict.MAY_HAVE_RUN);
        mContext.actions().release(live.id());
        mActiveRequests.endAttempt(state, live, now);
    }

    /** Makes the moved stream the live attempt after the KV cache has arrived. */
    void completeMove(
            final RequestState state,
            final Attempt move,
            final String streamId,
            final Instant now) {
        state.live().ifPresent(old -> mActiveRequests.cancelAttempt(state, old, now));
        state.setMove(Optional.empty());
        final long next = state.delivered().tokens();
        final Attempt live =
                new Attempt(
                        move.id(), move.endpoint(), AttemptKind.MOVE, move.firstIndex(), next, now);
        live.setStreamId(streamId);
        state.setLive(Optional.of(live));
        state.setResumeTried(false);
        state.setMoveTried(false);
        mContext.log().add(live, DecisionKind.MOVED, streamId, now);
        mContext.actions().resume(live.id(), live.endpoint(), streamId, next);
        mTicketHandler.issue(state, live);
    }

    /** Aborts a move that failed or timed out; part of the move may have taken effect. */
    void abortMove(
            final RequestState state, final Attempt move, final String detail, final Instant now) {
        mContext.log().add(move, DecisionKind.MOVE_GIVEN_UP, detail, now);
        mActiveRequests.cancelAttempt(state, move, now);
        if (state.live().isPresent()) {
            abandonIfIdempotent(state, state.live().get(), now);
            return;
        }
        state.setCause(Optional.of(RecoveryCause.ENGINE_LEFT));
        state.setExemptFromRetryBudget(true);
        mRecovery.redispatchIfAllowed(state, detail, now);
    }

    private void leaveEndpoint(
            final RequestState state, final Attempt live, final Instant goneBy, final Instant now) {
        if (!live.hasStream() || !now.isBefore(goneBy)) {
            abandonIfIdempotent(state, live, now);
        } else if (!state.isMoveTried() && !willFinishInTime(state, live, goneBy, now)) {
            startMove(state, live, now);
        }
    }

    /**
     * Abandons the attempt if the request is idempotent. A non-idempotent request stays until its
     * connection breaks, since the engine may still finish it.
     */
    private void abandonIfIdempotent(
            final RequestState state, final Attempt live, final Instant now) {
        if (state.spec().idempotent()) {
            mRecovery.abandon(state, live, RecoveryCause.ENGINE_LEFT, now);
        }
    }

    private void startMove(final RequestState state, final Attempt live, final Instant now) {
        final boolean comparingText = live.isComparingText() && state.delivered().tokens() > 0;
        final Optional<Endpoint> target =
                comparingText ? Optional.empty() : mLauncher.chooseEndpoint(state, now);
        if (target.isEmpty()) {
            return;
        }
        state.setMoveTried(true);
        final Attempt move =
                new Attempt(
                        state.nextAttemptId(),
                        target.get(),
                        AttemptKind.MOVE,
                        live.firstIndex(),
                        live.nextIndex(),
                        now);
        state.setMove(Optional.of(move));
        mContext.log().add(move, DecisionKind.MOVE_STARTED, live.endpoint().id().value(), now);
        final Endpoint from = live.endpoint();
        mContext.actions().move(move.id(), from, live.streamId(), target.get());
    }

    /**
     * Returns whether the rest of the answer, at the pace so far, ends before the engine leaves,
     * with the time of a move to spare.
     */
    private boolean willFinishInTime(
            final RequestState state, final Attempt live, final Instant goneBy, final Instant now) {
        final int maxTokens = state.spec().maxTokens();
        if (live.receivedTokens() == 0 || maxTokens == 0) {
            return false;
        }
        final Duration pace =
                Duration.between(live.startedAt(), now).dividedBy(live.receivedTokens());
        final long rest = Math.max(0, maxTokens - state.delivered().tokens());
        final Instant end = now.plus(pace.multipliedBy(rest));
        return end.plus(mContext.settings().moveTime()).isBefore(goneBy);
    }
}
