package org.whinhead.serving.crash;

import java.util.HexFormat;

/**
 * Something that requests have in common if endpoints crash under all of them: the whole request,
 * over all attempts of its caller, or a part of its prompt.
 *
 * @param shape a cheap hash, by which most features are told apart without their digests
 * @param high the first half of a digest of everything that the feature consists of
 * @param low the second half
 */
public record RequestFeature(int shape, long high, long low) {

    /**
     * Returns the digest for logs, the same at all daemons.
     *
     * @return 32 hexadecimal digits
     */
    public String toText() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }
}
