package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.verdict.Verdict;

/**
 * Takes streams away from engines that were announced to leave.
 *
 * <p>A stream that will end in time stays; any other has its KV cache moved to another engine, and
 * while that goes on the old stream still delivers. Where the move fails or takes too long, the
 * answer is continued from the delivered text. Guards against two streams that deliver the same
 * tokens: only the live attempt delivers, a move becomes live in the one step that ends the old
 * attempt, and a move that was given up is cancelled as soon as its stream has a name.
 */
final class Departures {

    private final Wiring mWiring;
    private final Endings mEndings;
    private final AttemptLauncher mLauncher;
    private final Recovery mRecovery;
    private final Tickets mTickets;
    private final LeavingEndpoints mLeaving;

    Departures(
            final Wiring wiring,
            final Endings endings,
            final AttemptLauncher launcher,
            final Recovery recovery,
            final Tickets tickets,
            final LeavingEndpoints leaving) {
        mWiring = wiring;
        mEndings = endings;
        mLauncher = launcher;
        mRecovery = recovery;
        mTickets = tickets;
        mLeaving = leaving;
    }

    void endpointLeaving(final EndpointId endpoint, final Instant goneBy, final Instant now) {
        mLeaving.add(endpoint, goneBy);
        for (final RequestState state : mEndings.all()) {
            look(state, now);
        }
    }

    /** Looks at one request: a move that takes too long, or a live attempt that must leave. */
    void look(final RequestState state, final Instant now) {
        if (!mWiring.settings().recovery().keepsWork()) {
            return;
        }
        if (state.move().isPresent()) {
            final Attempt move = state.move().get();
            if (!now.isBefore(move.startedAt().plus(mWiring.settings().moveTime()))) {
                giveUpMove(state, move, "too late", now);
            }
            return;
        }
        final Optional<Attempt> live = state.live().filter(a -> a.endpoint().kind().isStreaming());
        final Optional<Instant> goneBy =
                live.flatMap(attempt -> mLeaving.goneBy(attempt.endpoint().id()));
        if (goneBy.isPresent()) {
            leave(state, live.get(), goneBy.get(), now);
        }
    }

    /** The live attempt failed while its KV cache is being moved: the export has stopped it. */
    void sourceFailed(final RequestState state, final Attempt live, final Instant now) {
        state.addVerdict(Verdict.MAY_HAVE_RUN);
        mWiring.actions().release(live.id());
        mEndings.ended(state, live, now);
    }

    /** The KV cache has arrived. */
    void moved(
            final RequestState state,
            final Attempt move,
            final String streamId,
            final Instant now) {
        state.live().ifPresent(old -> mEndings.cancel(state, old, now));
        state.setMove(Optional.empty());
        final long next = state.delivered().tokens();
        final Attempt live =
                new Attempt(
                        move.id(), move.endpoint(), AttemptKind.MOVE, move.firstIndex(), next, now);
        live.setStreamId(streamId);
        state.setLive(Optional.of(live));
        state.setResumeTried(false);
        state.setMoveTried(false);
        mWiring.log().add(live, DecisionKind.MOVED, streamId, now);
        mWiring.actions().resume(live.id(), live.endpoint(), streamId, next);
        mTickets.issue(state, live);
    }

    /** A move failed, perhaps after a part of it took effect. */
    void giveUpMove(
            final RequestState state, final Attempt move, final String detail, final Instant now) {
        mWiring.log().add(move, DecisionKind.MOVE_GIVEN_UP, detail, now);
        mEndings.cancel(state, move, now);
        if (state.live().isPresent()) {
            leaveUnlessLastChance(state, state.live().get(), now);
            return;
        }
        state.setCause(Optional.of(RecoveryCause.ENGINE_LEFT));
        state.setDispatchFree(true);
        mRecovery.carryOn(state, detail, now);
    }

    private void leave(
            final RequestState state, final Attempt live, final Instant goneBy, final Instant now) {
        if (!live.hasStream() || !now.isBefore(goneBy)) {
            leaveUnlessLastChance(state, live, now);
        } else if (!state.isMoveTried() && !willEndInTime(state, live, goneBy, now)) {
            move(state, live, now);
        }
    }

    /**
     * A request that must not run again stays until its connection breaks, since the engine may
     * still finish it.
     */
    private void leaveUnlessLastChance(
            final RequestState state, final Attempt live, final Instant now) {
        if (state.spec().idempotent()) {
            mRecovery.abandon(state, live, RecoveryCause.ENGINE_LEFT, now);
        }
    }

    private void move(final RequestState state, final Attempt live, final Instant now) {
        final boolean repeatsText = live.isChecking() && state.delivered().tokens() > 0;
        final Optional<Endpoint> target =
                repeatsText ? Optional.empty() : mLauncher.choose(state, now);
        if (target.isEmpty()) {
            return;
        }
        state.setMoveTried(true);
        final Attempt move =
                new Attempt(
                        state.newAttempt(),
                        target.get(),
                        AttemptKind.MOVE,
                        live.firstIndex(),
                        live.nextIndex(),
                        now);
        state.setMove(Optional.of(move));
        mWiring.log().add(move, DecisionKind.MOVE_STARTED, live.endpoint().id().value(), now);
        final Endpoint from = live.endpoint();
        mWiring.actions().move(move.id(), from, live.streamId(), target.get());
    }

    /** Tells whether the rest, at the pace so far, ends well before the engine does. */
    private boolean willEndInTime(
            final RequestState state, final Attempt live, final Instant goneBy, final Instant now) {
        final int most = state.spec().maxTokens();
        if (live.tokens() == 0 || most == 0) {
            return false;
        }
        final Duration pace = Duration.between(live.startedAt(), now).dividedBy(live.tokens());
        final long rest = Math.max(0, most - state.delivered().tokens());
        final Instant end = now.plus(pace.multipliedBy(rest));
        return end.plus(mWiring.settings().moveTime()).isBefore(goneBy);
    }
}
