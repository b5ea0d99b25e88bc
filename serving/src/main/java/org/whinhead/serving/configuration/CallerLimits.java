package org.whinhead.serving.configuration;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Limits of the size and duration of callers' requests.
 *
 * @param maxHeaderBytes the largest request header, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param headerTimeout the longest time for a header to arrive
 * @param idleTimeout the time after which a connection without a request is closed
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits until the first configuration is read; usual settings of operators. */
    public static final CallerLimits INITIAL =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the components. */
    public CallerLimits {
        Arguments.requireAtLeast(maxHeaderBytes, 1, "maxHeaderBytes");
        Arguments.requireAtLeast(maxBodyBytes, 0, "maxBodyBytes");
        Arguments.requirePositive(headerTimeout, "headerTimeout");
        Arguments.requirePositive(idleTimeout, "idleTimeout");
    }
}
