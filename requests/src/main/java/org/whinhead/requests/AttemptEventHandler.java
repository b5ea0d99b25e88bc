package org.whinhead.requests;

import java.time.Instant;
import java.util.Optional;

/**
 * Dispatches attempt events to the components that handle them.
 *
 * <p>Guards against late or repeated events of ended attempts, which would deliver tokens or end a
 * request a second time. Only events of the live attempt or of the move in progress have an effect.
 */
final class AttemptEventHandler {

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private final Recovery mRecovery;
    private final TicketHandler mTicketHandler;
    private final EndpointDrainer mEndpointDrainer;
    private final StreamDelivery mDelivery;

    AttemptEventHandler(
            final CoordinatorContext context,
            final ActiveRequests activeRequests,
            final Recovery recovery,
            final TicketHandler ticketHandler,
            final EndpointDrainer endpointDrainer) {
        mContext = context;
        mActiveRequests = activeRequests;
        mRecovery = recovery;
        mTicketHandler = ticketHandler;
        mEndpointDrainer = endpointDrainer;
        mDelivery = new StreamDelivery(context, activeRequests, recovery, ticketHandler);
    }

    /** Handles an event of an attempt whose request may have ended. */
    void handle(final Optional<RequestState> state, final AttemptEvent event, final Instant now) {
        final Optional<Attempt> live = state.flatMap(s -> matchAttempt(s.live(), event));
        final Optional<Attempt> move = state.flatMap(s -> matchAttempt(s.move(), event));
        if (live.isPresent()) {
            handleLiveEvent(state.get(), live.get(), event, now);
        } else if (move.isPresent()) {
            handleMoveEvent(state.get(), move.get(), event, now);
        } else {
            handleLateEvent(event, now);
        }
    }

    private static Optional<Attempt> matchAttempt(
            final Optional<Attempt> attempt, final AttemptEvent event) {
        return attempt.filter(known -> known.id().equals(event.attempt()));
    }

    private void handleLiveEvent(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent event,
            final Instant now) {
        if (event instanceof AttemptEvent.Opened opened) {
            handleOpened(state, attempt, opened, now);
        } else if (event instanceof AttemptEvent.Token token) {
            mDelivery.handleToken(state, attempt, token, now);
        } else if (event instanceof AttemptEvent.Finished finished) {
            mDelivery.handleFinished(state, attempt, finished, now);
        } else if (event instanceof AttemptEvent.Answered answered) {
            mActiveRequests.completeCall(state, answered.answer(), now);
        } else if (event instanceof AttemptEvent.Failed failed) {
            handleFailed(state, attempt, failed, now);
        }
    }

    private void handleOpened(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent.Opened opened,
            final Instant now) {
        attempt.recordEvent(now);
        mContext.log().add(attempt, DecisionKind.OPENED, opened.streamId(), now);
        state.setBlockedSince(Optional.empty());
        if (attempt.kind().isDispatch()) {
            mContext.settings().retryScope().onAnswerBegan(state, now);
        }
        final boolean named = !opened.streamId().isEmpty();
        if (named && (attempt.kind().isDispatch() || attempt.kind() == AttemptKind.RESUME)) {
            attempt.setStreamId(opened.streamId());
            mTicketHandler.issue(state, attempt);
            mEndpointDrainer.drainIfNeeded(state, now);
        }
    }

    private void handleFailed(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent.Failed failed,
            final Instant now) {
        if (state.move().isPresent()) {
            mEndpointDrainer.handleSourceFailure(state, attempt, now);
        } else {
            mRecovery.handleFailure(state, attempt, failed.failure(), failed.detail(), now);
        }
    }

    private void handleMoveEvent(
            final RequestState state,
            final Attempt move,
            final AttemptEvent event,
            final Instant now) {
        if (event instanceof AttemptEvent.Moved moved) {
            mEndpointDrainer.completeMove(state, move, moved.streamId(), now);
        } else if (event instanceof AttemptEvent.Failed failed) {
            mEndpointDrainer.abortMove(state, move, failed.detail(), now);
        }
    }

    /** Cancels the stream that an already ended attempt has opened, since it has no reader. */
    private void handleLateEvent(final AttemptEvent event, final Instant now) {
        final String streamId = streamIdOf(event);
        if (!streamId.isEmpty()) {
            mActiveRequests
                    .abandonedAttempts()
                    .remove(event.attempt())
                    .ifPresent(
                            endpoint ->
                                    mContext.actions().cancel(event.attempt(), endpoint, streamId));
        }
        mContext.log().addLateEvent(event, now);
    }

    private static String streamIdOf(final AttemptEvent event) {
        if (event instanceof AttemptEvent.Opened opened) {
            return opened.streamId();
        }
        return event instanceof AttemptEvent.Moved moved ? moved.streamId() : "";
    }
}
