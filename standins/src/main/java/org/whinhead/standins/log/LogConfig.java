package org.whinhead.standins.log;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Settings of the log service.
 *
 * @param host the address to listen on
 * @param port the port, or 0 for a free one
 * @param appendsPerSecond the maximum number of appends a second over all streams
 * @param retention the time for which a record is kept
 */
public record LogConfig(String host, int port, int appendsPerSecond, Duration retention) {

    /** Default settings: 300 appends a second, one hour of retention and a free port. */
    public static final LogConfig DEFAULT = new LogConfig("127.0.0.1", 0, 300, Duration.ofHours(1));

    /** Validates the components. */
    public LogConfig {
        Arguments.requireText(host, "host");
        Arguments.requireAtLeast(appendsPerSecond, 1, "appendsPerSecond");
        Arguments.requirePositive(retention, "retention");
    }
}
