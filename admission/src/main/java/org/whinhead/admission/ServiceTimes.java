package org.whinhead.admission;

import java.time.Duration;

/** Moving averages of what requests of one target take. */
final class ServiceTimes {

    private static final double NEW_SAMPLE_SHARE = 0.1;
    private static final double NANOS_PER_SECOND = 1e9;

    private double mTokensPerRequest;
    private double mSecondsPerRequest;

    /**
     * Takes in a request that ran.
     *
     * <p>Guards against refusals that look like fast answers: requests that generated nothing say
     * nothing about the service time, so they are left out.
     */
    void observe(final long tokens, final Duration took) {
        final double seconds = took.toNanos() / NANOS_PER_SECOND;
        if (tokens <= 0 || seconds <= 0) {
            return;
        }
        final double share = mSecondsPerRequest == 0 ? 1 : NEW_SAMPLE_SHARE;
        mTokensPerRequest += share * (tokens - mTokensPerRequest);
        mSecondsPerRequest += share * (seconds - mSecondsPerRequest);
    }

    /** Returns tokens a second of one slot, or 0 if nothing ran yet. */
    double tokensPerSecond() {
        return mSecondsPerRequest == 0 ? 0 : mTokensPerRequest / mSecondsPerRequest;
    }

    /** Returns the expected seconds that a request holds a slot, or 0 if nothing ran yet. */
    double secondsPerRequest() {
        return mTokensPerRequest == 0 ? 0 : mTokensPerRequest / tokensPerSecond();
    }
}
