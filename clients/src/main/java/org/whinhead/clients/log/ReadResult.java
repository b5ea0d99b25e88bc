package org.whinhead.clients.log;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/** The result of a read from a log stream. */
public sealed interface ReadResult {

    /**
     * The records from the requested offset; empty if none were appended within the wait.
     *
     * @param oldest the oldest retained offset of the stream
     * @param next the offset at which the next read starts
     * @param entries the records, by ascending offset
     */
    record Records(long oldest, long next, List<StoredRecord> entries) implements ReadResult {
        /** Copies the list. */
        public Records {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The record at the requested offset has expired.
     *
     * @param oldest the oldest retained offset of the stream
     */
    record Expired(long oldest) implements ReadResult {}

    /**
     * The log could not be read.
     *
     * @param reason the cause, as text for a person
     * @param retryAfter the wait before a retry that the log service asked for; zero if none
     * @param tooLarge whether the response exceeded the size limit; a read of fewer records may fit
     */
    record Unavailable(String reason, Duration retryAfter, boolean tooLarge) implements ReadResult {
        /** Validates that no component is null. */
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }
}
