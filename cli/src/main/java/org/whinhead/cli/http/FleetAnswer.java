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
public record FleetAnswer(URI daemon, Optional<HttpAnswer> answer, String failure) {

    /** Checks every part. */
    public FleetAnswer {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(answer, "answer");
        Objects.requireNonNull(failure, "failure");
    }

    /** Returns the daemon with the cause why its answer is of no use. */
    public String problem() {
        return daemon + ": " + answer.map(FleetAnswer::refusal).orElse(failure);
    }

    private static String refusal(final HttpAnswer answer) {
        return ("status " + answer.status() + " " + answer.body().path("message").asText()).strip();
    }
}
