package org.whinhead.requests;

import java.time.Instant;
import java.util.Optional;

/**
 * Hands what happened to an attempt to the part that decides on it.
 *
 * <p>Guards against events of attempts that are over: they arrive late or twice and would deliver
 * or end a request a second time. Only an event whose attempt is the live one, or the move under
 * way, has an effect.
 */
final class AttemptEventHandler {

    private final CoordinatorContext mWiring;
    private final ActiveRequests mEndings;
    private final Recovery mRecovery;
    private final TicketHandler mTickets;
    private final EndpointDrainer mDepartures;
    private final StreamDelivery mDelivery;

    AttemptEventHandler(
            final CoordinatorContext wiring,
            final ActiveRequests endings,
            final Recovery recovery,
            final TicketHandler tickets,
            final EndpointDrainer departures) {
        mWiring = wiring;
        mEndings = endings;
        mRecovery = recovery;
        mTickets = tickets;
        mDepartures = departures;
        mDelivery = new StreamDelivery(wiring, endings, recovery, tickets);
    }

    /** Something happened to an attempt of a request that may have ended. */
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
            mEndings.completeCall(state, answered.answer(), now);
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
        state.setBlockedSince(Optional.empty());
        if (attempt.kind().isDispatch()) {
            mWiring.settings().retryScope().onAnswerBegan(state, now);
        }
        final boolean named = !opened.streamId().isEmpty();
        if (named && (attempt.kind().isDispatch() || attempt.kind() == AttemptKind.RESUME)) {
            attempt.setStreamId(opened.streamId());
            mTickets.issue(state, attempt);
            mDepartures.drainIfNeeded(state, now);
        }
    }

    private void handleFailed(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent.Failed failed,
            final Instant now) {
        if (state.move().isPresent()) {
            mDepartures.handleSourceFailure(state, attempt, now);
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
            mDepartures.completeMove(state, move, moved.streamId(), now);
        } else if (event instanceof AttemptEvent.Failed failed) {
            mDepartures.abortMove(state, move, failed.detail(), now);
        }
    }

    /** An attempt that is over opened a stream after all: nobody reads it, so it is cancelled. */
    private void handleLateEvent(final AttemptEvent event, final Instant now) {
        final String streamId = streamIdOf(event);
        if (!streamId.isEmpty()) {
            mEndings.abandonedAttempts()
                    .remove(event.attempt())
                    .ifPresent(
                            endpoint ->
                                    mWiring.actions().cancel(event.attempt(), endpoint, streamId));
        }
        mWiring.log().addLateEvent(event, now);
    }

    private static String streamIdOf(final AttemptEvent event) {
        if (event instanceof AttemptEvent.Opened opened) {
            return opened.streamId();
        }
        return event instanceof AttemptEvent.Moved moved ? moved.streamId() : "";
    }
}
