package org.whinhead.api.verdict;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.message.Messages;

/**
 * A final answer that is not the one asked for.
 *
 * @param code what went wrong
 * @param verdict whether the request may have run
 * @param detail the place or cause, for the message text; never a secret
 * @param retryAfter when to come back, if coming back can help
 */
public record Refusal(
        ErrorCode code, Verdict verdict, String detail, Optional<Duration> retryAfter) {

    /** Checks every part. */
    public Refusal {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Refuses a request that certainly did not run.
     *
     * @param code what went wrong
     * @param detail the place or cause
     * @return the refusal
     */
    public static Refusal notRun(final ErrorCode code, final String detail) {
        return new Refusal(code, Verdict.NOT_RUN, detail, Optional.empty());
    }

    /**
     * Returns this refusal with a time to come back.
     *
     * @param after how long the caller should wait
     * @return a copy of this refusal
     */
    public Refusal withRetryAfter(final Duration after) {
        return new Refusal(code, verdict, detail, Optional.of(after));
    }

    /** Returns the text for people. */
    public String message() {
        return Messages.text(code.messageKey(), detail);
    }
}
