package org.whinhead.cli.http;

import java.net.URI;
import java.util.Objects;
import java.util.Optional;

/**
 * What came of asking one of many daemons.
 *
 * @param daemon its operator address
 * @param answer its answer, or empty if none came
 * @param failure why no answer came; empty if one did
 */
public record DaemonResult(URI daemon, Optional<OperatorResponse> response, String failure) {

    /** Checks every part. */
    public DaemonResult {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(response, "answer");
        Objects.requireNonNull(failure, "failure");
    }

    /** Returns the daemon with the cause why its answer is of no use. */
    public String problem() {
        return daemon + ": " + response.map(DaemonResult::refusal).orElse(failure);
    }

    private static String refusal(final OperatorResponse answer) {
        return ("status " + answer.status() + " " + answer.body().path("message").asText()).strip();
    }
}
