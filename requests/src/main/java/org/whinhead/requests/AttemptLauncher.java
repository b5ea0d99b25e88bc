package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.verdict.ErrorCode;

/** Starts attempts: chooses the endpoint, keeps to the budgets, and waits where there is none. */
final class AttemptLauncher {

    private final Wiring mWiring;
    private final Endings mEndings;
    private final LeavingEndpoints mLeaving;
    private final Backoff mBackoff;

    AttemptLauncher(final Wiring wiring, final Endings endings, final LeavingEndpoints leaving) {
        mWiring = wiring;
        mEndings = endings;
        mLeaving = leaving;
        mBackoff = new Backoff(wiring.settings(), wiring.random());
    }

    /** Sends a request out, or lets it wait if nothing is open to it. */
    void dispatch(final RequestState state, final Instant now) {
        if (state.isLate(now)) {
            mEndings.giveUp(state, ErrorCode.DEADLINE_PASSED, "before dispatch", now);
            return;
        }
        final boolean charged = isCharged(state);
        if (charged && !mWiring.budget().allows(now)) {
            block(state, ErrorCode.RETRIES_SPENT, now);
            return;
        }
        final Optional<Endpoint> endpoint = choose(state, now);
        if (endpoint.isEmpty()) {
            block(state, ErrorCode.NO_ENDPOINT, now);
            return;
        }
        if (charged) {
            mWiring.budget().spend();
        }
        send(state, endpoint.get(), now);
    }

    /** Lets a request wait for its next try, or gives it up at once if the deadline comes first. */
    void retryLater(final RequestState state, final ErrorCode code, final Instant now) {
        final Duration wait = mBackoff.next(Math.max(1, state.dispatches()));
        if (!now.plus(wait).isBefore(state.deadline())) {
            mEndings.giveUp(state, code, "the deadline comes before the next try", now);
            return;
        }
        mWiring.log().add(state, DecisionKind.PAUSED, code.wireName(), now);
        state.pauseUntil(now.plus(wait));
    }

    /** Chooses an endpoint that the request has not been at, or else one that it has. */
    Optional<Endpoint> choose(final RequestState state, final Instant now) {
        final Set<EndpointId> excluded = new HashSet<>(state.tried());
        excluded.addAll(mLeaving.all());
        final Optional<Endpoint> fresh = mWiring.router().choose(state.spec(), excluded, now);
        if (fresh.isPresent() || state.tried().isEmpty()) {
            return fresh;
        }
        return mWiring.router().choose(state.spec(), Set.copyOf(mLeaving.all()), now);
    }

    /** Reads a stream on at the engine that holds it. */
    void resume(
            final RequestState state,
            final Endpoint endpoint,
            final String streamId,
            final long firstIndex,
            final Instant now) {
        final Attempt attempt =
                new Attempt(
                        state.newAttempt(),
                        endpoint,
                        AttemptKind.RESUME,
                        firstIndex,
                        state.delivered().tokens(),
                        now);
        attempt.setStreamId(streamId);
        start(state, attempt);
        mWiring.log().add(attempt, DecisionKind.RESUMED, streamId, now);
        mWiring.actions().resume(attempt.id(), endpoint, streamId, attempt.nextIndex());
    }

    private boolean isCharged(final RequestState state) {
        return state.dispatches() > 0 && !state.isDispatchFree();
    }

    private void send(final RequestState state, final Endpoint endpoint, final Instant now) {
        if (state.dispatches() == 0) {
            mWiring.budget().firstDispatch();
        }
        state.countDispatch();
        state.setDispatchFree(false);
        state.setResumeTried(false);
        state.setMoveTried(false);
        if (state.spec().kind().isStreaming()) {
            generate(state, endpoint, now);
        } else {
            call(state, endpoint, now);
        }
    }

    private void generate(final RequestState state, final Endpoint endpoint, final Instant now) {
        final DeliveredText delivered = state.delivered();
        final boolean goOn =
                delivered.tokens() > 0
                        && !state.isStartOver()
                        && mWiring.settings().recovery().keepsWork();
        final long from = goOn ? delivered.tokens() : 0;
        final AttemptKind kind = goOn ? AttemptKind.CONTINUE : AttemptKind.START;
        final Attempt attempt = new Attempt(state.newAttempt(), endpoint, kind, from, from, now);
        countRecomputed(state, attempt);
        start(state, attempt);
        mWiring.log().add(attempt, DecisionKind.DISPATCHED, describe(attempt), now);
        final String text = goOn ? delivered.text() : "";
        mWiring.actions().generate(attempt.id(), endpoint, text, from);
    }

    private void call(final RequestState state, final Endpoint endpoint, final Instant now) {
        final Attempt attempt =
                new Attempt(state.newAttempt(), endpoint, AttemptKind.START, 0, 0, now);
        start(state, attempt);
        mWiring.log().add(attempt, DecisionKind.DISPATCHED, describe(attempt), now);
        mWiring.actions().call(attempt.id(), endpoint);
    }

    private static void start(final RequestState state, final Attempt attempt) {
        state.setLive(Optional.of(attempt));
        state.setPhase(RequestState.Phase.RUNNING);
    }

    private void countRecomputed(final RequestState state, final Attempt attempt) {
        if (state.cause().isEmpty()) {
            return;
        }
        final long tokens = state.spec().promptTokens() + state.delivered().tokens();
        attempt.setRecomputed(state.cause().get(), tokens);
        state.addRecomputed(tokens);
        mWiring.counters().add(state.cause().get(), tokens);
        state.setCause(Optional.empty());
    }

    private static String describe(final Attempt attempt) {
        return attempt.kind() + attempt.cause().map(cause -> " after " + cause).orElse("");
    }

    /**
     * Lets a request wait that nothing takes now, with its patience counted from the first time.
     *
     * <p>Guards against giving up answers in a reclaim wave: the engines that are left refuse for a
     * second or two, and a few quick refusals would end a request that half its caller has read.
     */
    void block(final RequestState state, final ErrorCode code, final Instant now) {
        final Instant since = state.blockedSince().orElse(now);
        state.setBlockedSince(Optional.of(since));
        if (now.isBefore(since.plus(mWiring.settings().patience()))) {
            retryLater(state, code, now);
        } else {
            mEndings.giveUp(state, code, "nothing became free in time", now);
        }
    }
}
