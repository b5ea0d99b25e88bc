package org.whinhead.gateway.identity;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** A digest of texts and bytes in order, the same in every daemon. */
public final class IdentityDigest {

    private static final String ALGORITHM = "SHA-256";

    private final MessageDigest mDigest = create();

    private static MessageDigest create() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /**
     * Adds a text behind its length, so that texts can't be split in another way.
     *
     * @param text the text
     * @return this digest
     */
    public IdentityDigest add(final String text) {
        final byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mDigest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
        mDigest.update(bytes);
        return this;
    }

    /**
     * Adds bytes as they are.
     *
     * @param bytes the bytes up to the buffer's limit
     * @return this digest
     */
    public IdentityDigest add(final ByteBuffer bytes) {
        mDigest.update(bytes);
        return this;
    }

    /**
     * Returns the digest, after which nothing more can be added.
     *
     * @return 32 bytes
     */
    public ByteBuffer finish() {
        return ByteBuffer.wrap(mDigest.digest());
    }
}
