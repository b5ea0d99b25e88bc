package org.whinhead.clients.log;

import java.time.Instant;
import java.util.Objects;

/**
 * A record read from a log stream. The data array is not copied and must not be modified.
 *
 * @param offset the offset of the record in the stream
 * @param at the time of the append, by the log service's clock
 * @param data the bytes of the record
 */
public record StoredRecord(long offset, Instant at, byte[] data) {

    /** Validates that no component is null. */
    public StoredRecord {
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(data, "data");
    }
}
