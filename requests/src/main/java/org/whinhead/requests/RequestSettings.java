package org.whinhead.requests;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * The timeouts and limits of the coordinator.
 *
 * @param maxDispatches the maximum number of dispatches of a request that may have run; resumptions
 *     and dispatches that certainly did not run are not counted
 * @param firstBackoff the delay before the first retry, before jitter
 * @param maxBackoff the maximum delay before a retry
 * @param retryShare the number of retries allowed for each first dispatch (0 to 1)
 * @param retryBurst the maximum number of unused retries that the retry budget accumulates
 * @param patience the maximum time that a request waits for an available endpoint or for the retry
 *     budget
 * @param silenceFactor the silence limit of an attempt, as a multiple of its tier's latency target
 * @param leastSilence the lower bound on the silence limit
 * @param openTimeout the maximum time until an engine opens its stream, if that is shorter than the
 *     silence limit before the first token
 * @param moveTime the maximum duration of a KV cache move
 * @param stopMargin the time before a daemon's end when its unfinished requests end
 * @param comeBackAfter the delay before a retry that refusals suggest to callers
 * @param recovery whether the work of failed and leaving engines is reused
 * @param retryScope the scope of the deadline and of the count of possible runs; the whole request
 *     by default
 */
public record RequestSettings(
        int maxDispatches,
        Duration firstBackoff,
        Duration maxBackoff,
        double retryShare,
        int retryBurst,
        Duration patience,
        int silenceFactor,
        Duration leastSilence,
        Duration openTimeout,
        Duration moveTime,
        Duration stopMargin,
        Duration comeBackAfter,
        RecoveryMode recovery,
        RetryScope retryScope) {

    /** Validates the components. */
    public RequestSettings {
        Arguments.requireAtLeast(maxDispatches, 1, "maxDispatches");
        Arguments.requirePositive(firstBackoff, "firstBackoff");
        Arguments.requirePositive(maxBackoff, "maxBackoff");
        Arguments.requireAtLeast(retryBurst, 0, "retryBurst");
        Arguments.requirePositive(patience, "patience");
        Arguments.requireAtLeast(silenceFactor, 1, "silenceFactor");
        Arguments.requirePositive(leastSilence, "leastSilence");
        Arguments.requirePositive(openTimeout, "openTimeout");
        Arguments.requirePositive(moveTime, "moveTime");
        Arguments.requirePositive(stopMargin, "stopMargin");
        Arguments.requirePositive(comeBackAfter, "comeBackAfter");
        Objects.requireNonNull(recovery, "recovery");
        Objects.requireNonNull(retryScope, "retryScope");
        if (!(retryShare >= 0 && retryShare <= 1)) {
            throw new IllegalArgumentException("retryShare must be between 0 and 1: " + retryShare);
        }
    }

    /** Returns a builder with the default values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link RequestSettings}. */
    public static final class Builder {
        private int mMaxDispatches = 4;
        private Duration mFirstBackoff = Duration.ofMillis(20);
        private Duration mMaxBackoff = Duration.ofSeconds(1);
        private double mRetryShare = 0.1;
        private int mRetryBurst = 64;
        private Duration mPatience = Duration.ofSeconds(5);
        private int mSilenceFactor = 20;
        private Duration mLeastSilence = Duration.ofSeconds(2);
        private Duration mOpenTimeout = Duration.ofSeconds(30);
        private Duration mMoveTime = Duration.ofSeconds(2);
        private Duration mStopMargin = Duration.ofSeconds(1);
        private Duration mComeBackAfter = Duration.ofSeconds(1);
        private RecoveryMode mRecovery = RecoveryMode.KEEP_WORK;
        private RetryScope mRetryScope = RetryScope.REQUEST;

        private Builder() {}

        /** Sets the maximum number of dispatches of a request that may have run. */
        public Builder maxDispatches(final int maxDispatches) {
            mMaxDispatches = maxDispatches;
            return this;
        }

        /** Sets the first and the maximum delay before a retry. */
        public Builder backoff(final Duration first, final Duration longest) {
            mFirstBackoff = first;
            mMaxBackoff = longest;
            return this;
        }

        /** Sets the number of retries for each first dispatch (0 to 1) and the burst. */
        public Builder retries(final double share, final int burst) {
            mRetryShare = share;
            mRetryBurst = burst;
            return this;
        }

        /** Sets the maximum time that a request waits for an endpoint or for the retry budget. */
        public Builder patience(final Duration patience) {
            mPatience = patience;
            return this;
        }

        /** Sets the silence limit: a multiple of the tier's target, but at least a duration. */
        public Builder silence(final int factor, final Duration least) {
            mSilenceFactor = factor;
            mLeastSilence = least;
            return this;
        }

        /** Sets the maximum time until an engine opens its stream. */
        public Builder openTimeout(final Duration openTimeout) {
            mOpenTimeout = openTimeout;
            return this;
        }

        /** Sets the maximum duration of a KV cache move. */
        public Builder moveTime(final Duration moveTime) {
            mMoveTime = moveTime;
            return this;
        }

        /** Sets the time before a daemon's end when its unfinished requests end. */
        public Builder stopMargin(final Duration stopMargin) {
            mStopMargin = stopMargin;
            return this;
        }

        /** Sets the delay before a retry that refusals suggest to callers. */
        public Builder comeBackAfter(final Duration comeBackAfter) {
            mComeBackAfter = comeBackAfter;
            return this;
        }

        /** Sets whether the work of failed and leaving engines is reused. */
        public Builder recovery(final RecoveryMode recovery) {
            mRecovery = recovery;
            return this;
        }

        /** Sets the scope of the deadline and of the count of possible runs. */
        public Builder retryScope(final RetryScope retryScope) {
            mRetryScope = retryScope;
            return this;
        }

        /** Builds the settings. */
        public RequestSettings build() {
            return new RequestSettings(
                    mMaxDispatches,
                    mFirstBackoff,
                    mMaxBackoff,
                    mRetryShare,
                    mRetryBurst,
                    mPatience,
                    mSilenceFactor,
                    mLeastSilence,
                    mOpenTimeout,
                    mMoveTime,
                    mStopMargin,
                    mComeBackAfter,
                    mRecovery,
                    mRetryScope);
        }
    }
}
