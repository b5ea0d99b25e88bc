package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.verdict.ErrorCode;

/** Starts attempts: chooses the endpoint, enforces the retry budget, and schedules retries. */
final class AttemptLauncher {

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private final LeavingEndpoints mLeaving;
    private final Backoff mBackoff;

    AttemptLauncher(
            final CoordinatorContext context,
            final ActiveRequests activeRequests,
            final LeavingEndpoints leaving) {
        mContext = context;
        mActiveRequests = activeRequests;
        mLeaving = leaving;
        mBackoff = new Backoff(context.settings(), context.random());
    }

    /** Dispatches a request, or schedules a retry if no endpoint or retry budget is available. */
    void dispatch(final RequestState state, final Instant now) {
        if (state.isPastDeadline(now)) {
            mActiveRequests.giveUp(state, ErrorCode.DEADLINE_PASSED, "before dispatch", now);
            return;
        }
        final boolean charged = isChargedToBudget(state);
        if (charged && !mContext.budget().canRetry(now)) {
            retryWithinPatience(state, ErrorCode.RETRIES_SPENT, now);
            return;
        }
        final Optional<Endpoint> endpoint = chooseEndpoint(state, now);
        if (endpoint.isEmpty()) {
            retryWithinPatience(state, ErrorCode.NO_ENDPOINT, now);
            return;
        }
        if (charged) {
            mContext.budget().recordRetry();
        }
        dispatchTo(state, endpoint.get(), now);
    }

    /** Schedules a retry after a backoff, or ends the request if its deadline comes first. */
    void retryLater(final RequestState state, final ErrorCode code, final Instant now) {
        final Duration wait = mBackoff.nextDelay(Math.max(1, state.dispatches()));
        if (!now.plus(wait).isBefore(state.deadline())) {
            mActiveRequests.giveUp(state, code, "the deadline comes before the next try", now);
            return;
        }
        mContext.log().add(state, DecisionKind.PAUSED, code.wireName(), now);
        state.pauseUntil(now.plus(wait));
    }

    /** Chooses an endpoint that the request has not tried, or else one that it has tried. */
    Optional<Endpoint> chooseEndpoint(final RequestState state, final Instant now) {
        final Set<EndpointId> excluded = new HashSet<>(state.triedEndpoints());
        excluded.addAll(mLeaving.all());
        final Optional<Endpoint> untried = mContext.router().choose(state.spec(), excluded, now);
        if (untried.isPresent() || state.triedEndpoints().isEmpty()) {
            return untried;
        }
        return mContext.router().choose(state.spec(), Set.copyOf(mLeaving.all()), now);
    }

    /** Resumes reading a stream at the engine that holds it. */
    void resume(
            final RequestState state,
            final Endpoint endpoint,
            final String streamId,
            final long firstIndex,
            final Instant now) {
        final Attempt attempt =
                new Attempt(
                        state.nextAttemptId(),
                        endpoint,
                        AttemptKind.RESUME,
                        firstIndex,
                        state.delivered().tokens(),
                        now);
        attempt.setStreamId(streamId);
        setLiveAttempt(state, attempt);
        mContext.log().add(attempt, DecisionKind.RESUMED, streamId, now);
        mContext.actions().resume(attempt.id(), endpoint, streamId, attempt.nextIndex());
    }

    private boolean isChargedToBudget(final RequestState state) {
        return state.dispatches() > 0 && !state.isExemptFromRetryBudget();
    }

    private void dispatchTo(final RequestState state, final Endpoint endpoint, final Instant now) {
        if (state.dispatches() == 0) {
            mContext.budget().recordFirstDispatch();
        }
        state.countDispatch();
        state.setExemptFromRetryBudget(false);
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
        final boolean continuing =
                delivered.tokens() > 0
                        && !state.isStartOverRequired()
                        && mContext.settings().recovery().keepsWork();
        final long from = continuing ? delivered.tokens() : 0;
        final AttemptKind kind = continuing ? AttemptKind.CONTINUE : AttemptKind.START;
        final Attempt attempt = new Attempt(state.nextAttemptId(), endpoint, kind, from, from, now);
        countRecomputed(state, attempt);
        setLiveAttempt(state, attempt);
        mContext.log().add(attempt, DecisionKind.DISPATCHED, describe(attempt), now);
        final String text = continuing ? delivered.text() : "";
        mContext.actions().generate(attempt.id(), endpoint, text, from);
    }

    private void call(final RequestState state, final Endpoint endpoint, final Instant now) {
        final Attempt attempt =
                new Attempt(state.nextAttemptId(), endpoint, AttemptKind.START, 0, 0, now);
        setLiveAttempt(state, attempt);
        mContext.log().add(attempt, DecisionKind.DISPATCHED, describe(attempt), now);
        mContext.actions().call(attempt.id(), endpoint);
    }

    private static void setLiveAttempt(final RequestState state, final Attempt attempt) {
        state.setLive(Optional.of(attempt));
        state.setPhase(RequestState.Phase.RUNNING);
    }

    private void countRecomputed(final RequestState state, final Attempt attempt) {
        if (state.cause().isEmpty()) {
            return;
        }
        final long tokens = state.spec().promptTokens() + state.delivered().tokens();
        attempt.setRecomputedTokens(state.cause().get(), tokens);
        state.addRecomputedTokens(tokens);
        mContext.counters().add(state.cause().get(), tokens);
        state.setCause(Optional.empty());
    }

    private static String describe(final Attempt attempt) {
        return attempt.kind() + attempt.cause().map(cause -> " after " + cause).orElse("");
    }

    /**
     * Schedules a retry if the request has been blocked for less than the patience; otherwise ends
     * it.
     *
     * <p>Guards against ending partly delivered answers when many engines are reclaimed: the
     * remaining engines refuse for one or two seconds, and a few quick refusals would end the
     * request.
     */
    void retryWithinPatience(final RequestState state, final ErrorCode code, final Instant now) {
        final Instant since = state.blockedSince().orElse(now);
        state.setBlockedSince(Optional.of(since));
        if (now.isBefore(since.plus(mContext.settings().patience()))) {
            retryLater(state, code, now);
        } else {
            mActiveRequests.giveUp(state, code, "nothing became free in time", now);
        }
    }
}
