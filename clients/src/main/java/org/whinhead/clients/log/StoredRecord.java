package org.whinhead.clients.log;

import java.time.Instant;
import java.util.Objects;

/**
 * A record as the log gave it; its bytes are not copied, so they must not be changed.
 *
 * @param offset its place in the stream
 * @param at when the log took it, by the log's clock
 * @param data its bytes
 */
public record StoredRecord(long offset, Instant at, byte[] data) {

    /** Checks the parts. */
    public StoredRecord {
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(data, "data");
    }
}
