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
 * A refusal or failure as a daemon tells it.
 *
 * @param code the code's name; empty if the daemon gave none
 * @param verdict whether the request may have run
 * @param retryAfter when to come back, if the daemon said so
 */
record DaemonError(String code, Verdict verdict, Optional<Duration> retryAfter) {

    private static final String VERDICT_HEADER = "X-Whinhead-Verdict";
    private static final String RETRY_AFTER_HEADER = "Retry-After";

    /** Checks every part. */
    DaemonError {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Reads the body of a refusal or of an error event.
     *
     * @param body the parsed body
     * @return the error; one without a known verdict may have run
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
     * Reads a refusal; its headers go before its body.
     *
     * @param response the response
     * @param mapper the JSON library
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

    /** Tells whether the daemon is stopping, so that another one has to be asked. */
    boolean isDaemonStopping() {
        return code.equals(ErrorCode.STOPPING.wireName());
    }

    /**
     * Returns the verdict of a name; a missing or unknown one counts as the least certain, because
     * a request is never repeated on a guess.
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
