package org.whinhead.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.whinhead.api.model.Customer;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;

/** Authenticates customers by the bearer key of a request. */
final class KeyAuthenticator {

    private static final String SCHEME = "Bearer ";
    private static final String ALGORITHM = "SHA-256";
    private static final String NO_HEADER = "the Authorization header has no bearer key";
    private static final String NO_MATCH = "no customer has this key";

    private KeyAuthenticator() {}

    /**
     * Returns the customer of a key. All hashes are compared, each in constant time and also after
     * a match, so that the duration reveals nothing about a key.
     *
     * @throws RequestException if the header has no bearer key or no customer has the key
     */
    static Customer authenticate(final String authorization, final List<Customer> customers)
            throws RequestException {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            throw refused(NO_HEADER);
        }
        final byte[] hash = hashOf(authorization.substring(SCHEME.length()).strip());
        Optional<Customer> found = Optional.empty();
        for (final Customer customer : customers) {
            for (final String keyHash : customer.keyHashes()) {
                if (MessageDigest.isEqual(hash, keyHash.getBytes(StandardCharsets.US_ASCII))) {
                    found = Optional.of(customer);
                }
            }
        }
        return found.orElseThrow(() -> refused(NO_MATCH));
    }

    private static RequestException refused(final String detail) {
        return new RequestException(Refusal.notRun(ErrorCode.UNKNOWN_KEY, detail));
    }

    private static byte[] hashOf(final String key) {
        try {
            final MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
            final byte[] hash = digest.digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash).getBytes(StandardCharsets.US_ASCII);
        } catch (final NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }
}
