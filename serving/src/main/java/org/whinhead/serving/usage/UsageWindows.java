package org.whinhead.serving.usage;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.api.Arguments;

/**
 * The windows of a deployment: the first one begins with the year 1970.
 *
 * @param length the length of a window
 */
public record UsageWindows(Duration length) {

    /** Checks the length. */
    public UsageWindows {
        Arguments.requirePositive(length, "length");
    }

    /**
     * Numbers the window of a time.
     *
     * @param time the time of day
     * @return the window's number
     */
    public long windowAt(final Instant time) {
        return Math.floorDiv(time.toEpochMilli(), length.toMillis());
    }

    /**
     * Tells when a window ends.
     *
     * @param window its number
     * @return the end, which is the beginning of the next one
     */
    public Instant endOf(final long window) {
        return Instant.ofEpochMilli((window + 1) * length.toMillis());
    }
}
