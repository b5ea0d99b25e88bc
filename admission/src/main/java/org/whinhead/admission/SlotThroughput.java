package org.whinhead.admission;

import java.time.Duration;

/** Moving averages of the tokens and the duration of requests for one model or service. */
final class SlotThroughput {

    private static final double NEW_SAMPLE_SHARE = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mTokensPerRequest;
    private double mSecondsPerRequest;

    /**
     * Adds the sample of a finished request.
     *
     * <p>Requests that generated nothing are left out: a refusal would count as a fast answer.
     */
    void observe(final long tokens, final Duration duration) {
        final double seconds = duration.toNanos() / NANOS_PER_SECOND;
        if (tokens <= 0 || seconds <= 0) {
            return;
        }
        final double weight = mSecondsPerRequest == 0 ? 1 : NEW_SAMPLE_SHARE;
        mTokensPerRequest += weight * (tokens - mTokensPerRequest);
        mSecondsPerRequest += weight * (seconds - mSecondsPerRequest);
    }

    /** Returns the tokens per second of one slot, or 0 without a sample. */
    double tokensPerSecond() {
        return mSecondsPerRequest == 0 ? 0 : mTokensPerRequest / mSecondsPerRequest;
    }

    /** Returns the expected seconds that a request occupies a slot, or 0 without a sample. */
    double secondsPerRequest() {
        return mTokensPerRequest == 0 ? 0 : mTokensPerRequest / tokensPerSecond();
    }
}
