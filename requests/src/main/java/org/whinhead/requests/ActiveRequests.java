package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

/** Holds the requests in progress and is the one place where a request or an attempt ends. */
final class ActiveRequests {

    private final CoordinatorContext mWiring;
    private final Map<RequestId, RequestState> mStates = new HashMap<>();
    private final AbandonedAttempts mAbandoned = new AbandonedAttempts();

    ActiveRequests(final CoordinatorContext wiring) {
        mWiring = wiring;
    }

    Optional<RequestState> find(final RequestId request) {
        return Optional.ofNullable(mStates.get(request));
    }

    void add(final RequestState state) {
        mStates.put(state.id(), state);
    }

    /** Returns a copy, because handling one request may end it. */
    List<RequestState> all() {
        return new ArrayList<>(mStates.values());
    }

    int count() {
        return mStates.size();
    }

    /** Tells whether a request has not ended since the caller of this method looked it up. */
    boolean isActive(final RequestState state) {
        return mStates.get(state.id()) == state;
    }

    AbandonedAttempts abandonedAttempts() {
        return mAbandoned;
    }

    /** Ends a request with a refusal whose verdict covers all its attempts. */
    void giveUp(
            final RequestState state,
            final ErrorCode code,
            final String detail,
            final Instant now) {
        if (state.live().isPresent()) {
            state.addVerdict(Verdict.MAY_HAVE_RUN);
        }
        final Verdict verdict = state.verdict();
        final Refusal refusal = new Refusal(code, verdict, detail, retryAfter(state, verdict));
        refuse(state, refusal, now);
    }

    /** Ends a request with a refusal that was decided elsewhere. */
    void refuse(final RequestState state, final Refusal refusal, final Instant now) {
        cancelAttempts(state, now);
        remove(state, now);
        if (state.isClaimHeld() && refusal.verdict() == Verdict.NOT_RUN) {
            mWiring.actions().unclaim(state.id());
        }
        mWiring.log().add(state, DecisionKind.REFUSED, refusal.code().wireName(), now);
        mWiring.actions().refuse(state.id(), refusal);
    }

    /** Ends a request whose caller hung up. */
    void endOnDisconnect(final RequestState state, final Instant now) {
        cancelAttempts(state, now);
        remove(state, now);
        mWiring.log().add(state, DecisionKind.CALLER_LEFT, "", now);
    }

    /** Ends a generated answer. */
    void complete(
            final RequestState state, final AttemptEvent.Finished finished, final Instant now) {
        final boolean first = state.attempts() == 1;
        final Completion completion =
                new Completion(
                        finished.finishReason(),
                        finished.promptTokens(),
                        first ? finished.cachedTokens() : 0,
                        state.delivered().tokens(),
                        state.recomputedTokens(),
                        state.attempts());
        endSuccessfully(state, now);
        mWiring.actions().complete(state.id(), completion);
    }

    /** Ends a plain service's answer. */
    void completeCall(final RequestState state, final PlainAnswer answer, final Instant now) {
        endSuccessfully(state, now);
        mWiring.actions().answer(state.id(), answer);
    }

    /** Sends a caller away with a ticket; the engine's stream runs on. */
    void handBack(
            final RequestState state,
            final Ticket ticket,
            final Refusal refusal,
            final Instant now) {
        releaseStreams(state, now);
        remove(state, now);
        mWiring.log().add(state, DecisionKind.HANDED_BACK, ticket.endpoint().value(), now);
        mWiring.actions().handBack(state.id(), ticket, refusal);
    }

    /** Forgets a request whose caller has come back on a new connection. */
    void supersede(final RequestState state, final Instant now) {
        releaseStreams(state, now);
        remove(state, now);
    }

    /** Ends an attempt that its endpoint has ended, or that cannot be reached. */
    void endAttempt(final RequestState state, final Attempt attempt, final Instant now) {
        mWiring.router().attemptEnded(attempt.endpoint().id(), state.spec(), now);
        clearAttempt(state, attempt);
    }

    /** Ends an attempt here and at its endpoint. */
    void cancelAttempt(final RequestState state, final Attempt attempt, final Instant now) {
        endAttempt(state, attempt, now);
        if (!attempt.hasStream()) {
            mAbandoned.add(attempt);
        }
        mWiring.actions().cancel(attempt.id(), attempt.endpoint(), attempt.streamId());
    }

    private void endSuccessfully(final RequestState state, final Instant now) {
        final Attempt attempt = state.live().orElseThrow();
        mWiring.router().attemptSucceeded(attempt.endpoint().id(), state.spec(), now);
        mWiring.log().add(attempt, DecisionKind.COMPLETED, "", now);
        endAttempt(state, attempt, now);
        cancelAttempts(state, now);
        remove(state, now);
    }

    private void cancelAttempts(final RequestState state, final Instant now) {
        state.move().ifPresent(move -> cancelAttempt(state, move, now));
        state.live().ifPresent(live -> cancelAttempt(state, live, now));
    }

    private void releaseStreams(final RequestState state, final Instant now) {
        state.move().ifPresent(move -> cancelAttempt(state, move, now));
        state.live().ifPresent(live -> releaseStream(state, live, now));
    }

    private void releaseStream(final RequestState state, final Attempt live, final Instant now) {
        if (live.hasStream()) {
            endAttempt(state, live, now);
            mWiring.actions().release(live.id());
        } else {
            cancelAttempt(state, live, now);
        }
    }

    private void clearAttempt(final RequestState state, final Attempt attempt) {
        state.setLive(state.live().filter(live -> live != attempt));
        state.setMove(state.move().filter(move -> move != attempt));
    }

    private void remove(final RequestState state, final Instant now) {
        mStates.remove(state.id(), state);
        if (state.isOffered()) {
            mWiring.admission().requestEnded(state.id(), state.delivered().addedTokens(), now);
        }
    }

    private Optional<Duration> retryAfter(final RequestState state, final Verdict verdict) {
        return verdict.allowsAnotherAttempt(state.spec().idempotent())
                ? Optional.of(mWiring.settings().comeBackAfter())
                : Optional.empty();
    }
}
