package org.whinhead.requests;

import java.time.Instant;

/**
 * Hands an attempt's tokens to the caller, each index once and in order.
 *
 * <p>Guards against a mixed answer: a restarted or foreign stream whose text differs from what the
 * caller has. It would show as an answer that no single run gave. Indexes below the delivered count
 * are compared with the delivered text and never handed on, so a stream either repeats it exactly
 * or is left.
 */
final class StreamDelivery {

    /** More tokens than this that overtook others mean that one is lost. */
    private static final int MAX_EARLY_TOKENS = 256;

    private final CoordinatorContext mWiring;
    private final ActiveRequests mEndings;
    private final Recovery mRecovery;
    private final TicketHandler mTickets;

    StreamDelivery(
            final CoordinatorContext wiring,
            final ActiveRequests endings,
            final Recovery recovery,
            final TicketHandler tickets) {
        mWiring = wiring;
        mEndings = endings;
        mRecovery = recovery;
        mTickets = tickets;
    }

    /** A token of the live attempt arrived. */
    void handleToken(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent.Token token,
            final Instant now) {
        attempt.recordEvent(now);
        if (token.index() < attempt.nextIndex()) {
            return;
        }
        if (token.index() > attempt.nextIndex()) {
            bufferEarlyToken(state, attempt, token, now);
            return;
        }
        String text = token.text();
        while (text != null) {
            if (!compareOrDeliver(state, attempt, text)) {
                mRecovery.abandon(state, attempt, RecoveryCause.FOREIGN_STREAM, now);
                return;
            }
            text = attempt.removeNextEarlyToken();
        }
        if (attempt.deferredEnd().isPresent()) {
            handleFinished(state, attempt, attempt.deferredEnd().get(), now);
        }
    }

    /**
     * The live attempt's stream ended as it should.
     *
     * <p>Guards against an end that overtakes the last tokens, or comes without them: the answer
     * would be short. The end is held until all tokens are there; {@link StallDetector} gives up on
     * those that stay away, and the stream is then read again from the first missing one.
     */
    void handleFinished(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent.Finished finished,
            final Instant now) {
        if (attempt.nextIndex() < finished.answerTokens()) {
            attempt.recordEvent(now);
            attempt.deferEnd(finished);
            return;
        }
        if (finished.answerTokens() < state.delivered().tokens()) {
            mRecovery.abandon(state, attempt, RecoveryCause.FOREIGN_STREAM, now);
            return;
        }
        subtractCachedTokens(state, attempt, finished);
        mEndings.complete(state, finished, now);
    }

    private void bufferEarlyToken(
            final RequestState state,
            final Attempt attempt,
            final AttemptEvent.Token token,
            final Instant now) {
        if (attempt.bufferEarlyToken(token.index(), token.text()) > MAX_EARLY_TOKENS) {
            final String detail = "a token is missing";
            mRecovery.handleFailure(state, attempt, AttemptFailure.CUT_DURING_ANSWER, detail, now);
        }
    }

    private boolean compareOrDeliver(
            final RequestState state, final Attempt attempt, final String text) {
        final DeliveredText delivered = state.delivered();
        final long index = attempt.nextIndex();
        if (index < delivered.tokens()) {
            if (!delivered.matchesAt(attempt.checkedCharacters(), text)) {
                return false;
            }
            attempt.addCheckedCharacters(text.length());
        } else {
            if (attempt.isComparingText() && attempt.checkedCharacters() != delivered.length()) {
                return false;
            }
            attempt.stopComparingText();
            mTickets.issueBeforeFirstToken(state, attempt);
            delivered.append(text);
            state.setResumeTried(false);
            mWiring.actions().deliver(state.id(), index, text);
        }
        attempt.advance();
        return true;
    }

    private void subtractCachedTokens(
            final RequestState state, final Attempt attempt, final AttemptEvent.Finished finished) {
        if (attempt.cause().isPresent()) {
            final long cached = Math.min(finished.cachedTokens(), attempt.recomputedTokens());
            state.addRecomputedTokens(-cached);
            mWiring.counters().subtract(attempt.cause().get(), cached);
        }
    }
}
