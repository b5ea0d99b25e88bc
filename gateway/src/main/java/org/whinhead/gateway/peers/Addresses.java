package org.whinhead.gateway.peers;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Spells socket addresses as text. */
public final class Addresses {

    private Addresses() {}

    /**
     * Reads an address.
     *
     * @param text an IP address, a colon and a port
     * @return the address
     * @throws IllegalArgumentException if it is spelled otherwise
     */
    public static InetSocketAddress parse(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("no IP:PORT: " + text);
        }
        // A name instead of a number would be looked up, which stops the event loop for seconds.
        final InetAddress host =
                NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("no IP:PORT: " + text);
        }
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Spells an address.
     *
     * @param address the address
     * @return an IP address, a colon and a port
     */
    public static String format(final InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
