package org.whinhead.api.verdict;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.message.Messages;

/**
 * Final error response to a request.
 *
 * @param code the kind of failure
 * @param verdict whether the request may have run
 * @param detail the place or cause of the failure, for the message text; never a secret
 * @param retryAfter how long the caller should wait before it retries, if a retry can help
 */
public record Refusal(
        ErrorCode code, Verdict verdict, String detail, Optional<Duration> retryAfter) {

    /** Validates the components. */
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Creates the refusal of a request that certainly did not run.
     *
     * @param code the kind of failure
     * @param detail the place or cause of the failure
     * @return the refusal
     */
    public static Refusal notRun(final ErrorCode code, final String detail) {
        return new Refusal(code, Verdict.NOT_RUN, detail, Optional.empty());
    }

    /**
     * Returns a copy of this refusal with a retry delay.
     *
     * @param delay how long the caller should wait before it retries
     * @return the copy
     */
    public Refusal withRetryAfter(final Duration delay) {
        return new Refusal(code, verdict, detail, Optional.of(delay));
    }

    /** Returns the human-readable message. */
    public String message() {
        return Messages.text(code.messageKey(), detail);
    }
}
