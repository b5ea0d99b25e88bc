package org.whinhead.requests;

import java.time.Instant;

/**
 * Delivers an attempt's tokens to the caller, each index once and in order.
 *
 * <p>Guards against an answer mixed from several runs, from a restarted or foreign stream whose
 * text differs from the delivered text. Tokens below the delivered count are compared with the
 * delivered text and never delivered, so a stream either repeats the text exactly or is abandoned.
 */
final class StreamDelivery {

    /** The maximum number of tokens buffered out of order; beyond that, a token counts as lost. */
    private static final int MAX_EARLY_TOKENS = 256;

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private final Recovery mRecovery;
    private final TicketHandler mTicketHandler;

    StreamDelivery(
            final CoordinatorContext context,
            final ActiveRequests activeRequests,
            final Recovery recovery,
            final TicketHandler ticketHandler) {
        mContext = context;
        mActiveRequests = activeRequests;
        mRecovery = recovery;
        mTicketHandler = ticketHandler;
    }

    /** Handles a token of the live attempt. */
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
     * Handles the normal end of the live attempt's stream.
     *
     * <p>Guards against an end that arrives before or without the last tokens: the answer would be
     * truncated. The end is deferred until all tokens have arrived; if {@link StallDetector}
     * detects that tokens are lost, the stream is read again from the first missing one.
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
        mActiveRequests.complete(state, finished, now);
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
            mTicketHandler.issueBeforeFirstToken(state, attempt);
            delivered.append(text);
            state.setResumeTried(false);
            mContext.actions().deliver(state.id(), index, text);
        }
        attempt.advance();
        return true;
    }

    private void subtractCachedTokens(
            final RequestState state, final Attempt attempt, final AttemptEvent.Finished finished) {
        if (attempt.cause().isPresent()) {
            final long cached = Math.min(finished.cachedTokens(), attempt.recomputedTokens());
            state.addRecomputedTokens(-cached);
            mContext.counters().subtract(attempt.cause().get(), cached);
        }
    }
}
