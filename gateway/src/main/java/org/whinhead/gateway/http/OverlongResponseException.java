package org.whinhead.gateway.http;

import java.io.IOException;
import java.util.Objects;

/** Thrown when a server sent more bytes that are no response than is allowed. */
public final class OverlongResponseException extends IOException {

    private static final long serialVersionUID = 1L;

    private final OverlongPart mPart;

    /**
     * Creates the exception.
     *
     * @param part the part that is too long
     */
    public OverlongResponseException(final OverlongPart part) {
        super("too long: " + part.wireName());
        mPart = Objects.requireNonNull(part, "part");
    }

    public OverlongPart part() {
        return mPart;
    }
}
