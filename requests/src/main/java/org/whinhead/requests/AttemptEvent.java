package org.whinhead.requests;

import java.util.Objects;
import org.whinhead.api.request.AttemptId;

/** What a transport reports of one attempt; handed to the coordinator on its own thread. */
public sealed interface AttemptEvent {

    /** Returns the attempt that the event belongs to. */
    AttemptId attempt();

    /**
     * The endpoint took the request and named its stream.
     *
     * @param attempt the attempt
     * @param streamId the endpoint's name for the stream; empty for a plain service
     */
    record Opened(AttemptId attempt, String streamId) implements AttemptEvent {
        /** Checks every part. */
        public Opened {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(streamId, "streamId");
        }
    }

    /**
     * One token arrived.
     *
     * @param attempt the attempt
     * @param index the token's index in the caller's whole answer, from 0; a stream that continues
     *     delivered text starts at that text's length
     * @param text the token's text
     */
    record Token(AttemptId attempt, long index, String text) implements AttemptEvent {
        /** Checks every part. */
        public Token {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(text, "text");
        }
    }

    /**
     * The stream ended as it should.
     *
     * @param attempt the attempt
     * @param finishReason the engine's reason, for example {@code stop} or {@code length}
     * @param promptTokens prompt tokens that the engine counted
     * @param cachedTokens prompt tokens that it found in its cache
     * @param answerTokens the whole answer's length: the index after its last token
     */
    record Finished(
            AttemptId attempt,
            String finishReason,
            int promptTokens,
            int cachedTokens,
            long answerTokens)
            implements AttemptEvent {
        /** Checks every part. */
        public Finished {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(finishReason, "finishReason");
        }
    }

    /**
     * A plain service answered whole.
     *
     * @param attempt the attempt
     * @param answer the answer
     */
    record Answered(AttemptId attempt, PlainAnswer answer) implements AttemptEvent {
        /** Checks every part. */
        public Answered {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * The attempt ended without a whole answer.
     *
     * @param attempt the attempt
     * @param failure how it ended
     * @param detail the cause, for people
     */
    record Failed(AttemptId attempt, AttemptFailure failure, String detail)
            implements AttemptEvent {
        /** Checks every part. */
        public Failed {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(failure, "failure");
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The stream's KV cache was moved to another endpoint, which waits for the stream's resumption.
     *
     * @param attempt the new attempt, at the receiving endpoint
     * @param streamId the receiving endpoint's name for the stream
     */
    record Moved(AttemptId attempt, String streamId) implements AttemptEvent {
        /** Checks every part. */
        public Moved {
            Objects.requireNonNull(attempt, "attempt");
            Objects.requireNonNull(streamId, "streamId");
        }
    }
}
