package org.whinhead.state.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;

/**
 * The 128-bit hash that identifies a non-idempotent request.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record ClaimKey(long high, long low) {

    // The claim table marks empty and withdrawn slots with these values, which no attempt has.
    static final long NO_ATTEMPT = 0;
    static final long WITHDRAWN = -1;

    /**
     * Returns the hash of a request's idempotency key.
     *
     * @param customer the customer; two customers may use the same idempotency key
     * @param idempotencyKey the key that the caller sends with each retry; not blank
     * @return the hash
     */
    public static ClaimKey of(final CustomerId customer, final String idempotencyKey) {
        Arguments.requireText(idempotencyKey, "idempotencyKey");
        final ByteBuffer hash = hash(customer.value(), idempotencyKey);
        return new ClaimKey(hash.getLong(), hash.getLong());
    }

    /**
     * Returns the hash that identifies an attempt.
     *
     * @param dispatcher the daemon that dispatches the attempt if it is granted
     * @param number the attempt's number, unique within that daemon
     * @return the hash
     */
    public static long attemptHash(final DaemonId dispatcher, final long number) {
        final long hash = hash(dispatcher.value(), Long.toString(number)).getLong();
        return hash == NO_ATTEMPT || hash == WITHDRAWN ? 1 : hash;
    }

    /**
     * Returns the partition of the key.
     *
     * @param partitions the number of partitions of the deployment, which never changes
     * @return the index, from 0 to {@code partitions - 1}
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
