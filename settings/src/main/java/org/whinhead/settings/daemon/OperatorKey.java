package org.whinhead.settings.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.whinhead.api.Arguments;

/**
 * An operator's key, known by its hash, and the settings that it may change.
 *
 * @param name whose key it is
 * @param keyHash the key's SHA-256 hash in lower-case hex
 * @param subtree the path that the key may change with all below it; {@code /} for everything
 */
public record OperatorKey(String name, String keyHash, String subtree) {

    private static final String EVERYTHING = "/";
    private static final String HASH_ALGORITHM = "SHA-256";

    /** Checks every part. */
    public OperatorKey {
        Arguments.requireText(name, "name");
        Arguments.requireText(keyHash, "keyHash");
        Arguments.requireText(subtree, "subtree");
    }

    /**
     * Hashes a key.
     *
     * @param key the key as the operator sends it
     * @return the hash in lower-case hex
     */
    public static String hash(final String key) {
        try {
            final MessageDigest digest = MessageDigest.getInstance(HASH_ALGORITHM);
            return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + HASH_ALGORITHM, e);
        }
    }

    /**
     * Tells whether a key is this one, in a time that does not depend on where they differ.
     *
     * @param key the key as the operator sent it
     * @return true if its hash is this one's
     */
    public boolean matches(final String key) {
        return MessageDigest.isEqual(
                hash(key).getBytes(StandardCharsets.US_ASCII),
                keyHash.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Tells whether this key may change a document.
     *
     * @param path the document's path
     * @return true if the path lies in the key's subtree
     */
    public boolean mayChange(final String path) {
        return subtree.equals(EVERYTHING)
                || path.equals(subtree)
                || path.startsWith(subtree + EVERYTHING);
    }
}
