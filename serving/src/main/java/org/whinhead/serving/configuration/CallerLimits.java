package org.whinhead.serving.configuration;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * What a caller may send, and how long it may take.
 *
 * @param maxHeaderBytes the longest head of a request, in bytes
 * @param maxBodyBytes the longest body of a request, in bytes
 * @param headerTimeout the longest time for a head to arrive
 * @param idleTimeout how long a connection without a request stays open
 */
public record CallerLimits(
        int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits before the first configuration is known; an operator's usual figures. */
    public static final CallerLimits INITIAL =
            new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Checks the parts. */
    public CallerLimits {
        Arguments.requireAtLeast(maxHeaderBytes, 1, "maxHeaderBytes");
        Arguments.requireAtLeast(maxBodyBytes, 0, "maxBodyBytes");
        Arguments.requirePositive(headerTimeout, "headerTimeout");
        Arguments.requirePositive(idleTimeout, "idleTimeout");
    }
}
