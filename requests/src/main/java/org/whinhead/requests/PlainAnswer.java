package org.whinhead.requests;

import java.util.Objects;

/**
 * The whole answer of a plain service; the body is not copied and must not be modified.
 *
 * @param status the HTTP status code
 * @param contentType the media type of the body
 * @param body the bytes of the body
 */
public record PlainAnswer(int status, String contentType, byte[] body) {

    /** Validates the components. */
    public PlainAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
