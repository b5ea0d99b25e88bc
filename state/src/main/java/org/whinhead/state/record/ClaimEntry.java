package org.whinhead.state.record;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.Objects;

/**
 * One claim, or one withdrawal of a claim, of a non-idempotent request.
 *
 * @param action what happens to the claim
 * @param keyHigh the upper half of the request key's hash
 * @param keyLow the lower half of the request key's hash
 * @param attempt names the attempt that the claim is for, as a hash
 */
public record ClaimEntry(Action action, long keyHigh, long keyLow, long attempt) {

    private static final int ENCODED_BYTES = 1 + 3 * Long.BYTES;

    /** Checks the action. */
    public ClaimEntry {
        Objects.requireNonNull(action, "action");
    }

    /**
     * Parses the text form.
     *
     * @param text what {@link #toText} gave
     * @return the entry
     * @throws IllegalArgumentException if it is not such a text
     */
    public static ClaimEntry parse(final String text) {
        final ByteBuffer bytes = ByteBuffer.wrap(Base64.getUrlDecoder().decode(text));
        if (bytes.remaining() != ENCODED_BYTES) {
            throw new IllegalArgumentException("claim entry of " + bytes.remaining() + " bytes");
        }
        final Action action = Action.ofCode(bytes.get());
        return new ClaimEntry(action, bytes.getLong(), bytes.getLong(), bytes.getLong());
    }

    /** Returns the entry as a short text. */
    public String toText() {
        final ByteBuffer bytes = ByteBuffer.allocate(ENCODED_BYTES);
        bytes.put(action.mCode).putLong(keyHigh).putLong(keyLow).putLong(attempt);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.array());
    }

    /** What an entry does to its key. */
    public enum Action {
        /** The attempt wants to be the only one that runs. */
        CLAIM((byte) 1),
        /** The attempt never ran and never will; the key is free again if the attempt holds it. */
        WITHDRAW((byte) 2);

        private final byte mCode;

        Action(final byte code) {
            mCode = code;
        }

        private static Action ofCode(final byte code) {
            for (final Action action : values()) {
                if (action.mCode == code) {
                    return action;
                }
            }
            throw new IllegalArgumentException("claim action " + code);
        }
    }
}
