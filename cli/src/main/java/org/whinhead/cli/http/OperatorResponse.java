package org.whinhead.cli.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * What a daemon answered.
 *
 * @param status the HTTP status
 * @param body the body; a missing node if there is none
 */
public record OperatorResponse(int status, JsonNode body) {

    /** Checks both parts. */
    public OperatorResponse {
        Objects.requireNonNull(body, "body");
    }

    /** Tells whether the daemon did what was asked. */
    public boolean isOk() {
        return status / 100 == 2;
    }
}
