package org.whinhead.standins.service;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * One plain service's settings.
 *
 * @param name the service's name
 * @param host the address to listen on
 * @param port the port, or 0 for a free one
 * @param slots the most calls that run at once; more are refused
 * @param latency how long a call runs
 */
public record ServiceConfig(String name, String host, int port, int slots, Duration latency) {

    /** Checks every part. */
    public ServiceConfig {
        Arguments.requireText(name, "name");
        Arguments.requireText(host, "host");
        Arguments.requireAtLeast(slots, 1, "slots");
        Objects.requireNonNull(latency, "latency");
    }

    /**
     * Makes settings on a free port of the loopback address.
     *
     * @param name the service's name
     * @param latency how long a call runs
     * @return the settings
     */
    public static ServiceConfig of(final String name, final Duration latency) {
        return new ServiceConfig(name, "127.0.0.1", 0, 32, latency);
    }
}
