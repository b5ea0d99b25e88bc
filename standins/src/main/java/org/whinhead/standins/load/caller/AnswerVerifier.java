package org.whinhead.standins.load.caller;

import java.util.List;
import java.util.Optional;
import org.whinhead.standins.answer.ExpectedAnswer;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.AnswerFault;

/** Compares an answer with the expected one, token by token, across all of its connections. */
final class AnswerVerifier {

    private final String mPrompt;
    private final int mExpectedCount;
    private int mReceivedCount;

    /**
     * Creates a verifier that received no token yet.
     *
     * @param request the request whose answer is verified
     */
    AnswerVerifier(final PlannedRequest request) {
        mPrompt = request.prompt();
        mExpectedCount = request.tokens();
    }

    /**
     * Verifies the next token of a stream.
     *
     * @param index the token's index in the answer, from 0, as sent by the daemon
     * @param text the token's text
     * @return the fault of the token, if any
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
     * Verifies an answer that is not streamed.
     *
     * @param content the text of the answer
     * @return the fault of the answer, if any
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

    /** Verifies that no token is missing at the end and returns the fault, if any. */
    Optional<AnswerFault> verifyEnd() {
        return mReceivedCount < mExpectedCount
                ? Optional.of(AnswerFault.MISSING)
                : Optional.empty();
    }

    /** Returns the number of correct tokens received so far. */
    int receivedCount() {
        return mReceivedCount;
    }

    /** Returns the correct tokens received so far. */
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
