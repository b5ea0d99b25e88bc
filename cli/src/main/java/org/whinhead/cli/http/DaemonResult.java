package org.whinhead.cli.http;

import java.net.URI;
import java.util.Objects;
import java.util.Optional;

/**
 * The result of a call to one of several daemons.
 *
 * @param daemon the operator address of the daemon
 * @param response the response, or empty if the call failed
 * @param failure the cause of the failed call; empty if there is a response
 */
public record DaemonResult(URI daemon, Optional<OperatorResponse> response, String failure) {

    /** Validates that no component is null. */
    public DaemonResult {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(response, "response");
        Objects.requireNonNull(failure, "failure");
    }

    /** Returns the address of the daemon and the cause of the failed call or its error response. */
    public String problem() {
        return daemon + ": " + response.map(DaemonResult::describe).orElse(failure);
    }

    private static String describe(final OperatorResponse response) {
        return ("status " + response.status() + " " + response.body().path("message").asText())
                .strip();
    }
}
