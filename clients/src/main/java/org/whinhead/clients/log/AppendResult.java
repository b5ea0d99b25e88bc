package org.whinhead.clients.log;

import java.time.Duration;
import java.util.Objects;

/** How an append to the log ended. */
public sealed interface AppendResult {

    /**
     * The records stand in the stream.
     *
     * @param firstOffset the first record's offset
     */
    record Appended(long firstOffset) implements AppendResult {}

    /**
     * Nothing was appended, and this call never will be.
     *
     * @param reason why, for people
     * @param retryAfter how long the log asked to wait; zero if it did not say
     */
    record NotAppended(String reason, Duration retryAfter) implements AppendResult {
        /** Checks both parts. */
        public NotAppended {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * The answer was lost: the records may stand in the stream, or may yet come to.
     *
     * @param reason what happened, for people
     */
    record Unknown(String reason) implements AppendResult {
        /** Checks the reason. */
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
