package org.whinhead.standins.load.caller;

import java.util.List;
import java.util.Optional;
import org.whinhead.standins.answer.ExpectedAnswer;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.AnswerFault;

/** Compares one answer with the expected one, token by token, over all of its connections. */
final class AnswerCheck {

    private final String mPrompt;
    private final int mExpected;
    private int mReceived;

    /**
     * Begins an answer.
     *
     * @param request the request that it answers
     */
    AnswerCheck(final PlannedRequest request) {
        mPrompt = request.prompt();
        mExpected = request.tokens();
    }

    /**
     * Takes in the next token of a stream.
     *
     * @param index the token's index as the daemon says it
     * @param text the token's text
     * @return what is wrong with it, if anything
     */
    Optional<AnswerFault> token(final long index, final String text) {
        if (index < mReceived) {
            return Optional.of(AnswerFault.DOUBLED);
        }
        if (index > mReceived) {
            return Optional.of(AnswerFault.MISSING);
        }
        if (index >= mExpected) {
            return Optional.of(AnswerFault.FOREIGN);
        }
        if (!ExpectedAnswer.token(mPrompt, index).equals(text)) {
            return Optional.of(faultOf(text));
        }
        mReceived++;
        return Optional.empty();
    }

    /**
     * Takes in an answer that came in one piece.
     *
     * @param content its text
     * @return what is wrong with it, if anything
     */
    Optional<AnswerFault> whole(final String content) {
        if (content.isEmpty()) {
            return end();
        }
        for (final String word : content.split("(?<= )")) {
            final Optional<AnswerFault> fault = token(mReceived, word);
            if (fault.isPresent()) {
                return fault;
            }
        }
        return end();
    }

    /** Takes in the end of the answer and returns what is wrong with it, if anything. */
    Optional<AnswerFault> end() {
        return mReceived < mExpected ? Optional.of(AnswerFault.MISSING) : Optional.empty();
    }

    /** Returns how many right tokens came so far. */
    int received() {
        return mReceived;
    }

    /** Returns the right tokens that came so far. */
    List<String> receivedTokens() {
        return ExpectedAnswer.tokens(mPrompt, mReceived);
    }

    private AnswerFault faultOf(final String text) {
        if (mReceived > 0 && ExpectedAnswer.token(mPrompt, mReceived - 1).equals(text)) {
            return AnswerFault.DOUBLED;
        }
        if (mReceived + 1 < mExpected
                && ExpectedAnswer.token(mPrompt, mReceived + 1).equals(text)) {
            return AnswerFault.MISSING;
        }
        return AnswerFault.FOREIGN;
    }
}
