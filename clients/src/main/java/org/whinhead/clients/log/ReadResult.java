package org.whinhead.clients.log;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/** How a read of the log ended. */
public sealed interface ReadResult {

    /**
     * The records from the offset on; none if none came in time.
     *
     * @param oldest the oldest offset that the stream still has
     * @param next the offset to read from next
     * @param entries the records, by rising offset
     */
    record Records(long oldest, long next, List<StoredRecord> entries) implements ReadResult {
        /** Copies the list. */
        public Records {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The offset's record has expired.
     *
     * @param oldest the oldest offset that is left
     */
    record Expired(long oldest) implements ReadResult {}

    /**
     * The log could not be read.
     *
     * @param reason why, for people
     * @param retryAfter how long the log asked to wait; zero if it did not say
     * @param tooLarge whether the answer was larger than the bound, so that fewer records may help
     */
    record Unavailable(String reason, Duration retryAfter, boolean tooLarge) implements ReadResult {
        /** Checks the parts. */
        public Unavailable {
            Objects.requireNonNull(reason, "reason");
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }
}
