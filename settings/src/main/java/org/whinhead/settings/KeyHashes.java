package org.whinhead.settings;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes of keys; settings store a hash as {@code sha256:} and lower-case hex. */
public final class KeyHashes {

    /** Prefix of every key hash in a document. */
    public static final String PREFIX = "sha256:";

    private static final String ALGORITHM = "SHA-256";

    private KeyHashes() {}

    /**
     * Hashes a key.
     *
     * @param key the key in clear text
     * @return the hash in lower-case hex, without prefix
     */
    public static String hash(final String key) {
        try {
            final MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /**
     * Removes the prefix of a hash in a document.
     *
     * @param text the hash with its prefix
     * @return the hash in lower-case hex, without prefix
     */
    public static String stripPrefix(final String text) {
        return text.substring(PREFIX.length());
    }
}
