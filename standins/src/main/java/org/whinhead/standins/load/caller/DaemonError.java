package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Verdict;

/**
 * An error response or error event of a daemon.
 *
 * @param code the error code; empty if the daemon sent none
 * @param verdict whether the request may have run
 * @param retryAfter the pause before a retry, if the daemon sent one
 */
record DaemonError(String code, Verdict verdict, Optional<Duration> retryAfter) {

    private static final String VERDICT_HEADER = "X-Whinhead-Verdict";
    private static final String RETRY_AFTER_HEADER = "Retry-After";

    /** Checks that no component is null. */
    DaemonError {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Reads the body of an error response or of an error event.
     *
     * @param body the parsed body
     * @return the error; the verdict is "may have run" if it is missing or unknown
     */
    static DaemonError of(final JsonNode body) {
        final JsonNode error = body.path("error");
        final JsonNode millis = error.path("retryAfterMillis");
        return new DaemonError(
                error.path("code").asText(""),
                verdict(error.path("verdict").asText("")),
                millis.canConvertToLong()
                        ? Optional.of(Duration.ofMillis(millis.asLong()))
                        : Optional.empty());
    }

    /**
     * Reads an error response. The verdict of the header has precedence over that of the body; the
     * retry pause of the body has precedence over that of the header.
     *
     * @param response the response
     * @param mapper parses the body
     * @return the error
     */
    static DaemonError of(final HttpResponse<String> response, final ObjectMapper mapper) {
        final DaemonError body = parse(response.body(), mapper);
        final Verdict verdict =
                response.headers()
                        .firstValue(VERDICT_HEADER)
                        .map(DaemonError::verdict)
                        .orElse(body.verdict());
        final Optional<Duration> retryAfter =
                response.headers()
                        .firstValue(RETRY_AFTER_HEADER)
                        .filter(seconds -> seconds.matches("\\d{1,9}"))
                        .map(seconds -> Duration.ofSeconds(Long.parseLong(seconds)));
        return new DaemonError(body.code(), verdict, body.retryAfter().or(() -> retryAfter));
    }

    private static DaemonError parse(final String body, final ObjectMapper mapper) {
        try {
            return of(mapper.readTree(body));
        } catch (final JsonProcessingException e) {
            return new DaemonError("", Verdict.MAY_HAVE_RUN, Optional.empty());
        }
    }

    /** Returns whether the daemon is stopping, so that the request must go to another one. */
    boolean isDaemonStopping() {
        return code.equals(ErrorCode.STOPPING.wireName());
    }

    /**
     * Returns the verdict of a wire name. A missing or unknown name gives the least certain
     * verdict, because a request must not be repeated on a guess.
     */
    static Verdict verdict(final String wireName) {
        for (final Verdict verdict : Verdict.values()) {
            if (verdict.wireName().equals(wireName)) {
                return verdict;
            }
        }
        return Verdict.MAY_HAVE_RUN;
    }
}
