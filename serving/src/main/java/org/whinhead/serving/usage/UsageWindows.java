package org.whinhead.serving.usage;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.api.Arguments;

/**
 * Numbers the usage windows of a deployment; window 0 begins with the year 1970.
 *
 * @param length the length of a window
 */
public record UsageWindows(Duration length) {

    /** Checks the length. */
    public UsageWindows {
        Arguments.requirePositive(length, "length");
    }

    /**
     * Returns the window that contains a time.
     *
     * @param time the time of day
     * @return the window's number
     */
    public long windowAt(final Instant time) {
        return Math.floorDiv(time.toEpochMilli(), length.toMillis());
    }

    /**
     * Returns the end of a window.
     *
     * @param window the window's number
     * @return the end, which is the beginning of the next window
     */
    public Instant endOf(final long window) {
        return Instant.ofEpochMilli((window + 1) * length.toMillis());
    }
}
