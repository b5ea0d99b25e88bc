package org.whinhead.clients.http;

import java.util.Objects;

/**
 * A response that was read whole; its bytes are not copied, so they must not be changed.
 *
 * @param status the HTTP status
 * @param retryAfterSeconds what the peer says of coming back; 0 if nothing
 * @param body the body
 */
public record BufferedHttpResponse(int status, long retryAfterSeconds, byte[] body) {

    /** Checks the body. */
    public BufferedHttpResponse {
        Objects.requireNonNull(body, "body");
    }
}
