package org.whinhead.state.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;

/**
 * The hash that stands for one non-idempotent request.
 *
 * @param high the upper half
 * @param low the lower half
 */
public record ClaimKey(long high, long low) {

    // The table marks empty and withdrawn slots with these.
    static final long NO_ATTEMPT = 0;
    static final long WITHDRAWN = -1;

    /**
     * Hashes a request's key.
     *
     * @param customer who asks; two customers may use the same key
     * @param idempotencyKey the key that the caller repeats with each try
     * @return the hash
     */
    public static ClaimKey of(final CustomerId customer, final String idempotencyKey) {
        Arguments.requireText(idempotencyKey, "idempotencyKey");
        final ByteBuffer hash = hash(customer.value(), idempotencyKey);
        return new ClaimKey(hash.getLong(), hash.getLong());
    }

    /**
     * Hashes an attempt's name.
     *
     * @param dispatcher the daemon that will dispatch the attempt if it is granted
     * @param number the attempt's number, which that daemon never uses again
     * @return the hash
     */
    public static long attemptHash(final DaemonId dispatcher, final long number) {
        final long hash = hash(dispatcher.value(), Long.toString(number)).getLong();
        return hash == NO_ATTEMPT || hash == WITHDRAWN ? 1 : hash;
    }

    /**
     * Returns the partition that the key belongs to.
     *
     * @param partitions how many partitions the deployment has; it never changes
     * @return the index, from 0
     */
    public int partition(final int partitions) {
        return (int) Long.remainderUnsigned(high, partitions);
    }

    private static ByteBuffer hash(final String first, final String second) {
        final byte[] bytes = first.getBytes(StandardCharsets.UTF_8);
        try {
            final MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
            digest.update(bytes);
            return ByteBuffer.wrap(digest.digest(second.getBytes(StandardCharsets.UTF_8)));
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("every platform has SHA-256", e);
        }
    }
}
