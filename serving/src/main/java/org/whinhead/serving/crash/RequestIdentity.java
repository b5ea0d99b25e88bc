package org.whinhead.serving.crash;

import java.util.HexFormat;

/**
 * Identifies what a caller asks for over all attempts: the same customer, method, host, target and
 * body.
 *
 * @param shape a hash of all but the body's content, by which most requests are told apart without
 *     reading their bodies
 * @param high the first half of a digest of everything
 * @param low the second half
 */
public record RequestIdentity(int shape, long high, long low) {

    /**
     * Returns the digest for logs, the same at all daemons.
     *
     * @return 32 hexadecimal digits
     */
    public String toText() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
