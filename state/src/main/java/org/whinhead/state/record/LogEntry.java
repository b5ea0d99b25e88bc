package org.whinhead.state.record;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A record as it stands in a stream.
 *
 * @param offset its place in the stream
 * @param at when the log took it, by the log's clock
 * @param record the record
 */
public record LogEntry(long offset, Instant at, LogRecord record) {

    /** Checks every part. */
    public LogEntry {
        Arguments.requireAtLeast(offset, 0, "offset");
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(record, "record");
    }
}
