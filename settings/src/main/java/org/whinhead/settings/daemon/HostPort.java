package org.whinhead.settings.daemon;

import org.whinhead.api.Arguments;

/**
 * An address to listen on or to connect to.
 *
 * @param host an IP address; an IPv6 address has no brackets
 * @param port the port, 0 to 65535; 0 selects a free port when listening
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65535;

    /** Validates both components. */
    public HostPort {
        Arguments.requireText(host, "host");
        Arguments.requireAtLeast(port, 0, "port");
        if (port > MAX_PORT) {
            throw new IllegalArgumentException("port is " + port + ", above " + MAX_PORT);
        }
    }

    /**
     * Parses {@code host:port}.
     *
     * @param text the text; an IPv6 address is in brackets
     * @return the address
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static HostPort parse(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address without port: " + text);
        }
        final String host = text.substring(0, colon).replaceAll("^\\[|\\]$", "");
        return new HostPort(host, Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + port;
    }
}
