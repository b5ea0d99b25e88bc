package org.whinhead.settings.daemon;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.whinhead.api.Arguments;
import org.whinhead.settings.KeyHashes;

/**
 * Hash of an operator's key and the subtree of settings that the key may change.
 *
 * @param name the name of the operator
 * @param keyHash the key's SHA-256 hash in lower-case hex
 * @param subtree the path of the subtree that the key may change; {@code /} for all settings
 */
public record OperatorKey(String name, String keyHash, String subtree) {

    private static final String ROOT_PATH = "/";

    /** Validates the components. */
    public OperatorKey {
        Arguments.requireText(name, "name");
        Arguments.requireText(keyHash, "keyHash");
        Arguments.requireText(subtree, "subtree");
    }

    /**
     * Returns whether a key has this hash. The time of the comparison does not depend on where the
     * hashes differ.
     *
     * @param key the key as the operator sent it
     * @return true if the hashes are equal
     */
    public boolean matches(final String key) {
        return MessageDigest.isEqual(
                KeyHashes.hash(key).getBytes(StandardCharsets.US_ASCII),
                keyHash.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Returns whether this key may change a document.
     *
     * @param path the document's path
     * @return true if the path is in the key's subtree
     */
    public boolean canChange(final String path) {
        return subtree.equals(ROOT_PATH)
                || path.equals(subtree)
                || path.startsWith(subtree + ROOT_PATH);
    }
}
