package org.whinhead.settings.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.whinhead.api.Arguments;
import org.whinhead.settings.KeyHashes;

/**
 * An operator's key, known by its hash, and the settings that it may change.
 *
 * @param name whose key it is
 * @param keyHash the key's SHA-256 hash in lower-case hex
 * @param subtree the path that the key may change with all below it; {@code /} for everything
 */
public record OperatorKey(String name, String keyHash, String subtree) {

    private static final String EVERYTHING = "/";

    /** Checks every part. */
    public OperatorKey {
        Arguments.requireText(name, "name");
        Arguments.requireText(keyHash, "keyHash");
        Arguments.requireText(subtree, "subtree");
    }

    /**
     * Tells whether a key is this one, in a time that does not depend on where they differ.
     *
     * @param key the key as the operator sent it
     * @return true if its hash is this one's
     */
    public boolean matches(final String key) {
        return MessageDigest.isEqual(
                KeyHashes.hash(key).getBytes(StandardCharsets.US_ASCII),
                keyHash.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Tells whether this key may change a document.
     *
     * @param path the document's path
     * @return true if the path lies in the key's subtree
     */
    public boolean canChange(final String path) {
        return subtree.equals(EVERYTHING)
                || path.equals(subtree)
                || path.startsWith(subtree + EVERYTHING);
    }
}
