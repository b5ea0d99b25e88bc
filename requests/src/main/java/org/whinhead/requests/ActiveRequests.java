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

/** Holds the requests in progress; the only class that ends a request or an attempt. */
final class ActiveRequests {

    private final CoordinatorContext mContext;
    private final Map<RequestId, RequestState> mRequests = new HashMap<>();
    private final AbandonedAttempts mAbandoned = new AbandonedAttempts();

    ActiveRequests(final CoordinatorContext context) {
        mContext = context;
    }

    Optional<RequestState> find(final RequestId request) {
        return Optional.ofNullable(mRequests.get(request));
    }

    void add(final RequestState state) {
        mRequests.put(state.id(), state);
    }

    /** Returns a copy of the active requests, because handling a request may end it. */
    List<RequestState> all() {
        return new ArrayList<>(mRequests.values());
    }

    int count() {
        return mRequests.size();
    }

    /** Returns whether a request has not ended since it was looked up. */
    boolean isActive(final RequestState state) {
        return mRequests.get(state.id()) == state;
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

    /** Ends a request with the given refusal. */
    void refuse(final RequestState state, final Refusal refusal, final Instant now) {
        cancelAttempts(state, now);
        remove(state, now);
        if (state.isClaimHeld() && refusal.verdict() == Verdict.NOT_RUN) {
            mContext.actions().unclaim(state.id());
        }
        mContext.log().add(state, DecisionKind.REFUSED, refusal.code().wireName(), now);
        mContext.actions().refuse(state.id(), refusal);
    }

    /** Ends a request whose caller disconnected. */
    void endOnDisconnect(final RequestState state, final Instant now) {
        cancelAttempts(state, now);
        remove(state, now);
        mContext.log().add(state, DecisionKind.CALLER_LEFT, "", now);
    }

    /** Ends a request whose generated answer is complete. */
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
        mContext.actions().complete(state.id(), completion);
    }

    /** Ends a request with the answer of a plain service. */
    void completeCall(final RequestState state, final PlainAnswer answer, final Instant now) {
        endSuccessfully(state, now);
        mContext.actions().answer(state.id(), answer);
    }

    /** Ends a request with a ticket for another daemon; the engine's stream continues. */
    void handBack(
            final RequestState state,
            final Ticket ticket,
            final Refusal refusal,
            final Instant now) {
        releaseStreams(state, now);
        remove(state, now);
        mContext.log().add(state, DecisionKind.HANDED_BACK, ticket.endpoint().value(), now);
        mContext.actions().handBack(state.id(), ticket, refusal);
    }

    /** Ends a request whose caller has returned on a new connection; its stream continues. */
    void supersede(final RequestState state, final Instant now) {
        releaseStreams(state, now);
        remove(state, now);
    }

    /** Ends an attempt whose endpoint has ended it or is unreachable. */
    void endAttempt(final RequestState state, final Attempt attempt, final Instant now) {
        mContext.router().attemptEnded(attempt.endpoint().id(), state.spec(), now);
        clearAttempt(state, attempt);
    }

    /** Ends an attempt locally and cancels it at its endpoint. */
    void cancelAttempt(final RequestState state, final Attempt attempt, final Instant now) {
        endAttempt(state, attempt, now);
        if (!attempt.hasStream()) {
            mAbandoned.add(attempt);
        }
        mContext.actions().cancel(attempt.id(), attempt.endpoint(), attempt.streamId());
    }

    private void endSuccessfully(final RequestState state, final Instant now) {
        final Attempt attempt = state.live().orElseThrow();
        mContext.router().attemptSucceeded(attempt.endpoint().id(), state.spec(), now);
        mContext.log().add(attempt, DecisionKind.COMPLETED, "", now);
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
            mContext.actions().release(live.id());
        } else {
            cancelAttempt(state, live, now);
        }
    }

    private void clearAttempt(final RequestState state, final Attempt attempt) {
        state.setLive(state.live().filter(live -> live != attempt));
        state.setMove(state.move().filter(move -> move != attempt));
    }

    private void remove(final RequestState state, final Instant now) {
        mRequests.remove(state.id(), state);
        if (state.isOffered()) {
            mContext.admission().requestEnded(state.id(), state.delivered().addedTokens(), now);
        }
    }

    private Optional<Duration> retryAfter(final RequestState state, final Verdict verdict) {
        return verdict.allowsAnotherAttempt(state.spec().idempotent())
                ? Optional.of(mContext.settings().comeBackAfter())
                : Optional.empty();
    }
}
