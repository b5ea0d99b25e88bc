package org.whinhead.clients.log;

import java.time.Duration;
import java.util.Objects;

/** The result of an append to a log stream. */
public sealed interface AppendResult {

    /**
     * The records were appended.
     *
     * @param firstOffset the offset of the first record
     */
    record Appended(long firstOffset) implements AppendResult {}

    /**
     * Nothing was appended, and no record of this call will be appended later.
     *
     * @param reason the cause, as text for a person
     * @param retryAfter the wait before a retry that the log service asked for; zero if none
     */
    record NotAppended(String reason, Duration retryAfter) implements AppendResult {
        /** Validates that no component is null. */
        public NotAppended {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * The response was lost: the records may be in the stream already or may be appended later.
     *
     * @param reason the cause, as text for a person
     */
    record Unknown(String reason) implements AppendResult {
        /** Validates the reason. */
        public Unknown {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
