package org.whinhead.standins.service;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * Settings of one plain service.
 *
 * @param name the service's name
 * @param host the address to listen on
 * @param port the port, or 0 for a free one
 * @param slots the maximum number of concurrent calls; more are refused
 * @param latency the duration of a call
 */
public record ServiceConfig(String name, String host, int port, int slots, Duration latency) {

    /** Validates the components. */
    public ServiceConfig {
        Arguments.requireText(name, "name");
        Arguments.requireText(host, "host");
        Arguments.requireAtLeast(slots, 1, "slots");
        Objects.requireNonNull(latency, "latency");
    }

    /**
     * Returns settings with a free port of the loopback address.
     *
     * @param name the service's name
     * @param latency the duration of a call
     * @return the settings
     */
    public static ServiceConfig of(final String name, final Duration latency) {
        return new ServiceConfig(name, "127.0.0.1", 0, 32, latency);
    }
}
