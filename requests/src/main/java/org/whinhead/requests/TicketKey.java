package org.whinhead.requests;

import java.util.Objects;
import org.whinhead.api.Arguments;

/** A named secret that signs tickets. */
public final class TicketKey {

    private static final int MIN_SECRET_BYTES = 32;

    private final String mName;
    private final byte[] mSecret;

    /**
     * Creates a key.
     *
     * @param name the name of the key; tickets contain it so that keys can be rotated
     * @param secret the secret, at least 32 bytes, the same on every daemon
     */
    public TicketKey(final String name, final byte[] secret) {
        mName = Arguments.requireText(name, "name");
        Objects.requireNonNull(secret, "secret");
        Arguments.requireAtLeast(secret.length, MIN_SECRET_BYTES, "length of the secret");
        mSecret = secret.clone();
    }

    String name() {
        return mName;
    }

    byte[] secret() {
        return mSecret.clone();
    }

    @Override
    public String toString() {
        return "TicketKey " + mName;
    }
}
