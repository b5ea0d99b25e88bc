package org.whinhead.serving.speed;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/** A completed step of a request: the time that it took and the time that was expected. */
public final class SpeedSample {

    private final String mService;
    private final String mEndpoint;
    private final SpeedKind mKind;
    private final Duration mExpected;
    private final Duration mTaken;
    private final int mRunning;

    private SpeedSample(final Builder builder) {
        mService = Arguments.requireText(builder.mService, "service");
        mEndpoint = Arguments.requireText(builder.mEndpoint, "endpoint");
        mKind = Objects.requireNonNull(builder.mKind, "kind");
        mExpected = Arguments.requirePositive(builder.mExpected, "expected");
        mTaken = Objects.requireNonNull(builder.mTaken, "taken");
        mRunning = builder.mRunning;
    }

    /**
     * Returns a builder of a sample.
     *
     * @param service the endpoint's service
     * @param endpoint the endpoint's id
     * @return a builder without times
     */
    public static Builder builder(final String service, final String endpoint) {
        return new Builder(service, endpoint);
    }

    String service() {
        return mService;
    }

    String endpoint() {
        return mEndpoint;
    }

    SpeedKind kind() {
        return mKind;
    }

    Duration taken() {
        return mTaken;
    }

    int running() {
        return mRunning;
    }

    /** Returns the logarithm of the time taken over the time expected. */
    double logRatio() {
        return Math.log(Math.max(mTaken.toNanos(), 1) / (double) mExpected.toNanos());
    }

    /** Builds a {@link SpeedSample}. */
    public static final class Builder {

        private final String mService;
        private final String mEndpoint;
        private SpeedKind mKind;
        private Duration mExpected;
        private Duration mTaken;
        private int mRunning = 1;

        private Builder(final String service, final String endpoint) {
            mService = service;
            mEndpoint = endpoint;
        }

        /**
         * Sets which step it was.
         *
         * @param kind the kind of the step
         * @return this builder
         */
        public Builder kind(final SpeedKind kind) {
            mKind = kind;
            return this;
        }

        /**
         * Sets the times.
         *
         * @param expected the time by the service's own model for the load at the endpoint
         * @param taken the time that the step took
         * @return this builder
         */
        public Builder times(final Duration expected, final Duration taken) {
            mExpected = expected;
            mTaken = taken;
            return this;
        }

        /**
         * Sets the load.
         *
         * @param running the number of requests in progress at the endpoint, this one included
         * @return this builder
         */
        public Builder running(final int running) {
            mRunning = running;
            return this;
        }

        /**
         * Creates the sample.
         *
         * @return the sample
         */
        public SpeedSample build() {
            return new SpeedSample(this);
        }
    }
}
