package org.whinhead.state.writer;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * One read of a stream.
 *
 * @param from the first offset wanted
 * @param max the most records wanted
 * @param waitAtMost how long the log may wait for a record
 * @param sentAt when the read was decided
 */
public record ReadRequest(long from, int max, Duration waitAtMost, Instant sentAt) {

    /** Checks every part. */
    public ReadRequest {
        Arguments.requireAtLeast(from, 0, "from");
        Arguments.requireAtLeast(max, 1, "max");
        Objects.requireNonNull(waitAtMost, "waitAtMost");
        Objects.requireNonNull(sentAt, "sentAt");
    }
}
