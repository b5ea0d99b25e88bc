package org.whinhead.serving.crash;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** Whether a request may be sent to an endpoint, and otherwise when to ask again. */
public final class SuspectDecision {

    /** The decision to send the request. */
    public static final SuspectDecision RUN = new SuspectDecision(Optional.empty());

    private final Optional<Duration> mRetryAfter;

    private SuspectDecision(final Optional<Duration> retryAfter) {
        mRetryAfter = retryAfter;
    }

    static SuspectDecision refuse(final Duration retryAfter) {
        return new SuspectDecision(Optional.of(Objects.requireNonNull(retryAfter, "retryAfter")));
    }

    /**
     * Returns whether the request may be sent.
     *
     * @return false if it is refused
     */
    public boolean isAllowed() {
        return mRetryAfter.isEmpty();
    }

    /**
     * Returns whether the request is held up by another one that is in progress, for a short while.
     *
     * @return false if it may be sent, or is refused for longer
     */
    public boolean isShort() {
        return mRetryAfter.isPresent()
                && mRetryAfter.get().compareTo(CrashSuspects.GUARD_RETRY_AFTER) <= 0;
    }

    /**
     * Returns the delay after which the request may be sent.
     *
     * @return the delay; zero if it may be sent now
     */
    public Duration retryAfter() {
        return mRetryAfter.orElse(Duration.ZERO);
    }
}
