package org.whinhead.standins.log;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The log service's settings.
 *
 * @param host the address to listen on
 * @param port the port, or 0 for a free one
 * @param appendsPerSecond the most appends a second, over all streams
 * @param retention how long a record is kept
 */
public record LogConfig(String host, int port, int appendsPerSecond, Duration retention) {

    /** Several hundred appends a second, an hour's retention, any free port. */
    public static final LogConfig DEFAULT = new LogConfig("127.0.0.1", 0, 300, Duration.ofHours(1));

    /** Checks every part. */
    public LogConfig {
        Arguments.requireText(host, "host");
        Arguments.requireAtLeast(appendsPerSecond, 1, "appendsPerSecond");
        Arguments.requirePositive(retention, "retention");
    }
}
