package org.whinhead.clients.http;

import java.util.Objects;

/**
 * A complete response. The body array is not copied and must not be modified.
 *
 * @param status the HTTP status code
 * @param retryAfterSeconds the value of the {@code Retry-After} header in seconds; 0 if none
 * @param body the bytes of the body
 */
public record BufferedHttpResponse(int status, long retryAfterSeconds, byte[] body) {

    /** Validates the body. */
    public BufferedHttpResponse {
        Objects.requireNonNull(body, "body");
    }
}
