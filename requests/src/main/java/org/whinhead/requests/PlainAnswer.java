package org.whinhead.requests;

import java.util.Objects;

/**
 * A plain service's whole answer; its bytes are not copied, so they must not be changed.
 *
 * @param status the HTTP status
 * @param contentType the media type
 * @param body the body
 */
public record PlainAnswer(int status, String contentType, byte[] body) {

    /** Checks every part. */
    public PlainAnswer {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
