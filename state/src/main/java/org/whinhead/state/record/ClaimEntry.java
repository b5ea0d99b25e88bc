package org.whinhead.state.record;

import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.Objects;

/**
 * A claim of a non-idempotent request, or the withdrawal of one.
 *
 * @param action claim or withdrawal
 * @param keyHigh the upper 64 bits of the request key's hash
 * @param keyLow the lower 64 bits of the request key's hash
 * @param attempt the hash that identifies the attempt
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
     * @param text the result of {@link #toText}
     * @return the entry
     * @throws IllegalArgumentException if the text is not base64, has the wrong length or has an
     *     unknown action
     */
    public static ClaimEntry parse(final String text) {
        final ByteBuffer bytes = ByteBuffer.wrap(Base64.getUrlDecoder().decode(text));
        if (bytes.remaining() != ENCODED_BYTES) {
            throw new IllegalArgumentException("claim entry has " + bytes.remaining() + " bytes");
        }
        final Action action = Action.ofCode(bytes.get());
        return new ClaimEntry(action, bytes.getLong(), bytes.getLong(), bytes.getLong());
    }

    /** Returns the entry as URL-safe base64 without padding. */
    public String toText() {
        final ByteBuffer bytes = ByteBuffer.allocate(ENCODED_BYTES);
        bytes.put(action.mCode).putLong(keyHigh).putLong(keyLow).putLong(attempt);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.array());
    }

    /** The effect of an entry on its key. */
    public enum Action {
        /** The attempt claims to be the only one that runs. */
        CLAIM((byte) 1),
        /** The attempt never ran and never will; the key becomes free if the attempt holds it. */
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
            throw new IllegalArgumentException("unknown claim action " + code);
        }
    }
}
