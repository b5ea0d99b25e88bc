package org.whinhead.requests;

import java.util.Objects;
import org.whinhead.api.request.AttemptId;

/**
 * An event that a transport reports for an attempt; the coordinator handles it on its own thread.
 */
public sealed interface AttemptEvent {

    /** Returns the ID of the attempt that the event belongs to. */
    AttemptId attempt();

    /**
     * The endpoint accepted the request and assigned a stream ID.
     *
     * @param attempt the ID of the attempt
     * @param streamId the stream's ID at the endpoint; empty for a plain service
     */
    record Opened(AttemptId attempt, String streamId) implements AttemptEvent {
        /** Validates the components. */
        public Opened {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(streamId, "streamId");
        }
    }

    /**
     * One token arrived.
     *
     * @param attempt the ID of the attempt
     * @param index the token's index in the caller's whole answer, from 0; a stream that continues
     *     delivered text starts at the number of delivered tokens
     * @param text the token's text
     */
    record Token(AttemptId attempt, long index, String text) implements AttemptEvent {
        /** Validates the components. */
        public Token {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(text, "text");
        }
    }

    /**
     * The stream ended normally.
     *
     * @param attempt the ID of the attempt
     * @param finishReason the engine's finish reason, for example {@code stop} or {@code length}
     * @param promptTokens the number of prompt tokens that the engine counted
     * @param cachedTokens the number of prompt tokens that the engine found in its cache
     * @param answerTokens the length of the whole answer in tokens: the index after its last token
     */
    record Finished(
            AttemptId attempt,
            String finishReason,
            int promptTokens,
            int cachedTokens,
            long answerTokens)
            implements AttemptEvent {
        /** Validates the components. */
        public Finished {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(finishReason, "finishReason");
        }
    }

    /**
     * A plain service returned its whole answer.
     *
     * @param attempt the ID of the attempt
     * @param answer the answer
     */
    record Answered(AttemptId attempt, PlainAnswer answer) implements AttemptEvent {
        /** Validates the components. */
        public Answered {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The attempt ended without a whole answer.
     *
     * @param attempt the ID of the attempt
     * @param failure the kind of failure
     * @param detail a human-readable cause
     */
    record Failed(AttemptId attempt, AttemptFailure failure, String detail)
            implements AttemptEvent {
        /** Validates the components. */
        public Failed {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(failure, "failure");
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The stream's KV cache was moved to another endpoint, where the stream can be resumed.
     *
     * @param attempt the ID of the new attempt, at the receiving endpoint
     * @param streamId the stream's ID at the receiving endpoint
     */
    record Moved(AttemptId attempt, String streamId) implements AttemptEvent {
        /** Validates the components. */
        public Moved {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(streamId, "streamId");
        }
    }
}
