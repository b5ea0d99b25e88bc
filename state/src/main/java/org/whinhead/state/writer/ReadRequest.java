package org.whinhead.state.writer;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * One read of a stream.
 *
 * @param fromOffset the first offset wanted
 * @param maxRecords the most records wanted
 * @param maxWait how long the log may wait for a record
 * @param sentAt when the read was decided
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
