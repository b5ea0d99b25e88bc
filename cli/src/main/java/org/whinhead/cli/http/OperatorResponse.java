package org.whinhead.cli.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * The response of a daemon to an operator call.
 *
 * @param status the HTTP status code
 * @param body the JSON body; a missing node if there is none
 */
public record OperatorResponse(int status, JsonNode body) {

    /** Validates the body. */
    public OperatorResponse {
        Objects.requireNonNull(body, "body");
    }

    /** Returns whether the status is 2xx. */
    public boolean isOk() {
        return status / 100 == 2;
    }
}
