package org.whinhead.state.writer;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A read of a stream.
 *
 * @param fromOffset the first offset to read
 * @param maxRecords the highest number of records to return, at least 1
 * @param maxWait the longest time that the log may wait for a record
 * @param sentAt the time at which the reader issued the read
 */
public record ReadRequest(long fromOffset, int maxRecords, Duration maxWait, Instant sentAt) {

    /** Checks every part. */
    public ReadRequest {
        Arguments.requireAtLeast(fromOffset, 0, "fromOffset");
        Arguments.requireAtLeast(maxRecords, 1, "maxRecords");
        Objects.requireNonNull(maxWait, "maxWait");
        Objects.requireNonNull(sentAt, "sentAt");
    }
}
