package org.whinhead.standins.load.caller;

import java.util.List;
import java.util.Optional;
import org.whinhead.standins.answer.ExpectedAnswer;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.AnswerFault;

/** Compares one answer with the expected one, token by token, over all of its connections. */
final class AnswerVerifier {

    private final String mPrompt;
    private final int mExpectedCount;
    private int mReceivedCount;

    /**
     * Begins an answer.
     *
     * @param request the request that it answers
     */
    AnswerVerifier(final PlannedRequest request) {
        mPrompt = request.prompt();
        mExpectedCount = request.tokens();
    }

    /**
     * Takes in the next token of a stream.
     *
     * @param index the token's index as the daemon says it
     * @param text the token's text
     * @return what is wrong with it, if anything
     */
    Optional<AnswerFault> verifyToken(final long index, final String text) {
        if (index < mReceivedCount) {
            return Optional.of(AnswerFault.DOUBLED);
        }
        if (index > mReceivedCount) {
            return Optional.of(AnswerFault.MISSING);
        }
        if (index >= mExpectedCount) {
            return Optional.of(AnswerFault.FOREIGN);
        }
        if (!ExpectedAnswer.token(mPrompt, index).equals(text)) {
            return Optional.of(faultOf(text));
        }
        mReceivedCount++;
        return Optional.empty();
    }

    /**
     * Takes in an answer that came in one piece.
     *
     * @param content its text
     * @return what is wrong with it, if anything
     */
    Optional<AnswerFault> verifyWhole(final String content) {
        if (content.isEmpty()) {
            return verifyEnd();
        }
        for (final String word : content.split("(?<= )")) {
            final Optional<AnswerFault> fault = verifyToken(mReceivedCount, word);
            if (fault.isPresent()) {
                return fault;
            }
        }
        return verifyEnd();
    }

    /** Takes in the end of the answer and returns what is wrong with it, if anything. */
    Optional<AnswerFault> verifyEnd() {
        return mReceivedCount < mExpectedCount
                ? Optional.of(AnswerFault.MISSING)
                : Optional.empty();
    }

    /** Returns how many right tokens came so far. */
    int receivedCount() {
        return mReceivedCount;
    }

    /** Returns the right tokens that came so far. */
    List<String> receivedTokens() {
        return ExpectedAnswer.tokens(mPrompt, mReceivedCount);
    }

    private AnswerFault faultOf(final String text) {
        if (mReceivedCount > 0 && ExpectedAnswer.token(mPrompt, mReceivedCount - 1).equals(text)) {
            return AnswerFault.DOUBLED;
        }
        if (mReceivedCount + 1 < mExpectedCount
                && ExpectedAnswer.token(mPrompt, mReceivedCount + 1).equals(text)) {
            return AnswerFault.MISSING;
        }
        return AnswerFault.FOREIGN;
    }
}
