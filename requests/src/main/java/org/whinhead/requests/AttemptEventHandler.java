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

    private final Wiring mWiring;
    private final Endings mEndings;
    private final Recovery mRecovery;
    private final Tickets mTickets;
    private final Departures mDepartures;
    private final StreamDelivery mDelivery;

    AttemptEventHandler(
            final Wiring wiring,
            final Endings endings,
            final Recovery recovery,
            final Tickets tickets,
            final Departures departures) {
        mWiring = wiring;
        mEndings = endings;
        mRecovery = recovery;
        mTickets = tickets;
        mDepartures = departures;
        mDelivery = new StreamDelivery(wiring, endings, recovery, tickets);
    }

    /** Something happened to an attempt of a request that may have ended. */
    void happened(final Optional<RequestState> state, final AttemptEvent event, final Instant now) {
        final Optional<Attempt> live = state.flatMap(s -> current(s.live(), event));
        final Optional<Attempt> move = state.flatMap(s -> current(s.move(), event));
        if (live.isPresent()) {
            liveEvent(state.get(), live.get(), event, now);
        } else if (move.isPresent()) {
            moveEvent(state.get(), move.get(), event, now);
        } else {
            lateEvent(event, now);
        }
    }

    private static Optional<Attempt> current(
            final Optional<Attempt> attempt, final AttemptEvent event) {
        return attempt.filter(known -> known.id().equals(event.attempt()));
    }

    private void liveEvent(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent event,
            final Instant now) {
        if (event instanceof AttemptEvent.Opened opened) {
            opened(state, attempt, opened, now);
        } else if (event instanceof AttemptEvent.Token token) {
            mDelivery.token(state, attempt, token, now);
        } else if (event instanceof AttemptEvent.Finished finished) {
            mDelivery.finished(state, attempt, finished, now);
        } else if (event instanceof AttemptEvent.Answered answered) {
            mEndings.answer(state, answered.answer(), now);
        } else if (event instanceof AttemptEvent.Failed failed) {
            failed(state, attempt, failed, now);
        }
    }

    private void opened(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent.Opened opened,
            final Instant now) {
        attempt.heard(now);
        state.setBlockedSince(Optional.empty());
        if (attempt.kind().isDispatch()) {
            mWiring.settings().retryScope().answerBegan(state, now);
        }
        final boolean named = !opened.streamId().isEmpty();
        if (named && (attempt.kind().isDispatch() || attempt.kind() == AttemptKind.RESUME)) {
            attempt.setStreamId(opened.streamId());
            mTickets.issue(state, attempt);
            mDepartures.look(state, now);
        }
    }

    private void failed(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent.Failed failed,
            final Instant now) {
        if (state.move().isPresent()) {
            mDepartures.sourceFailed(state, attempt, now);
        } else {
            mRecovery.failed(state, attempt, failed.failure(), failed.detail(), now);
        }
    }

    private void moveEvent(
            final RequestState state,
            final Attempt move,
            final AttemptEvent event,
            final Instant now) {
        if (event instanceof AttemptEvent.Moved moved) {
            mDepartures.moved(state, move, moved.streamId(), now);
        } else if (event instanceof AttemptEvent.Failed failed) {
            mDepartures.giveUpMove(state, move, failed.detail(), now);
        }
    }

    /** An attempt that is over opened a stream after all: nobody reads it, so it is cancelled. */
    private void lateEvent(final AttemptEvent event, final Instant now) {
        final String streamId = streamOf(event);
        if (!streamId.isEmpty()) {
            mEndings.abandoned()
                    .take(event.attempt())
                    .ifPresent(
                            endpoint ->
                                    mWiring.actions().cancel(event.attempt(), endpoint, streamId));
        }
        mWiring.log().addLate(event, now);
    }

    private static String streamOf(final AttemptEvent event) {
        if (event instanceof AttemptEvent.Opened opened) {
            return opened.streamId();
        }
        return event instanceof AttemptEvent.Moved moved ? moved.streamId() : "";
    }
}
