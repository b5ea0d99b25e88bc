package org.whinhead.gateway.peers;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Converts socket addresses to and from text. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text an IP address, a colon and a port
     * @return the address
     * @throws IllegalArgumentException if the text has another form
     */
    public static InetSocketAddress parse(final String text) {
        final int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address is not IP:PORT: " + text);
        }
        // Accepts numbers only: the lookup of a host name would block the event loop for seconds.
        final InetAddress host =
                NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            throw new IllegalArgumentException("address is not IP:PORT: " + text);
        }
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Formats an address.
     *
     * @param address the address
     * @return an IP address, a colon and a port
     */
    public static String format(final InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
