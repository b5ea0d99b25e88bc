package org.whinhead.serving.stream;

import java.util.HexFormat;

/**
 * Identifies a stream at all daemons: a digest of the customer, the host, the target and the id of
 * the caller's attempt that brought its first event.
 *
 * @param customer a hash of the customer, by which the memory of streams is shared out
 * @param high the first half of the digest
 * @param low the second half
 */
public record StreamKey(int customer, long high, long low) {

    /**
     * Returns the digest for logs, the same at all daemons.
     *
     * @return 32 hexadecimal digits
     */
    public String toText() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
