package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.cli.CliException;
import org.whinhead.cli.CliMessages;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.http.OperatorResponse;

/** Converts responses of daemons to JSON bodies or to exceptions with an exit code. */
final class OperatorResponses {

    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;

    private OperatorResponses() {}

    /**
     * Returns the body of a response with a 2xx status.
     *
     * @throws CliException with the exit code for the status, if it is not 2xx
     */
    static JsonNode requireBody(final OperatorResponse response) throws CliException {
        if (response.isOk()) {
            return response.body();
        }
        final JsonNode body = response.body();
        switch (response.status()) {
            case CONFLICT:
                throw new CliException(
                        ExitCode.CONFLICT,
                        "answer.conflict",
                        body.path("winningRevision").asText(),
                        body.path("author").asText());
            case UNPROCESSABLE:
                throw new CliException(
                        ExitCode.INVALID, "answer.invalid", problems(body.path("problems")));
            default:
                throw new CliException(
                        ExitCode.REFUSED, "answer.refused", response.status(), detail(body));
        }
    }

    private static String problems(final JsonNode problems) {
        final List<String> lines = new ArrayList<>();
        for (final JsonNode problem : problems) {
            if (problem.isTextual()) {
                lines.add(problem.textValue());
            } else {
                lines.add(problem.path("path").asText() + ": " + problem.path("message").asText());
            }
        }
        return String.join("\n", lines);
    }

    private static String detail(final JsonNode body) {
        final String message =
                body.path("message").asText(body.path("error").path("message").asText());
        final String verdict = body.path("verdict").asText();
        if (verdict.isEmpty()) {
            return message;
        }
        return CliMessages.text("answer.verdict", message, verdict);
    }

    /** Encodes a value of a query parameter. */
    static String encodeQuery(final String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
