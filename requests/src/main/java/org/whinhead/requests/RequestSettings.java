package org.whinhead.requests;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * How patient the coordinator is and how often it tries.
 *
 * @param maxDispatches the most dispatches of one request that may have run; resumptions and those
 *     that certainly did not run do not count
 * @param firstBackoff the wait before the first retry, before jitter
 * @param maxBackoff the longest wait between two tries
 * @param retryShare retries allowed for each first dispatch, as a share
 * @param retryBurst retries that may be saved up
 * @param patience how long a request waits for an endpoint that takes it, or for the retry budget
 * @param silenceFactor how many times a tier's latency target an engine may be silent
 * @param leastSilence the shortest silence that counts as a failure
 * @param openTimeout how long an engine may take to open its stream, if that is shorter than the
 *     bound on silence before the first token
 * @param moveTime how long a move of KV cache may take
 * @param stopMargin how long before a daemon's end its callers are sent away
 * @param comeBackAfter the wait told to callers that are refused
 * @param recovery what is made of the work of failed and leaving engines
 * @param retryScope what one deadline and one count of runs cover; the whole request by default
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

    /** Checks every part. */
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
            throw new IllegalArgumentException("retryShare is not a share: " + retryShare);
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

        /** Sets the most dispatches of one request that may have run. */
        public Builder maxDispatches(final int maxDispatches) {
            mMaxDispatches = maxDispatches;
            return this;
        }

        /** Sets the first and the longest wait between two tries. */
        public Builder backoff(final Duration first, final Duration longest) {
            mFirstBackoff = first;
            mMaxBackoff = longest;
            return this;
        }

        /** Sets the share of retries and how many may be saved up. */
        public Builder retries(final double share, final int burst) {
            mRetryShare = share;
            mRetryBurst = burst;
            return this;
        }

        /** Sets how long a request waits for an endpoint or for the retry budget. */
        public Builder patience(final Duration patience) {
            mPatience = patience;
            return this;
        }

        /** Sets the bound on silence: a multiple of the tier's target, but at least a duration. */
        public Builder silence(final int factor, final Duration least) {
            mSilenceFactor = factor;
            mLeastSilence = least;
            return this;
        }

        /** Sets how long an engine may take to open its stream. */
        public Builder openTimeout(final Duration openTimeout) {
            mOpenTimeout = openTimeout;
            return this;
        }

        /** Sets how long a move of KV cache may take. */
        public Builder moveTime(final Duration moveTime) {
            mMoveTime = moveTime;
            return this;
        }

        /** Sets how long before a daemon's end its callers are sent away. */
        public Builder stopMargin(final Duration stopMargin) {
            mStopMargin = stopMargin;
            return this;
        }

        /** Sets the wait told to callers that are refused. */
        public Builder comeBackAfter(final Duration comeBackAfter) {
            mComeBackAfter = comeBackAfter;
            return this;
        }

        /** Sets what is made of the work of failed and leaving engines. */
        public Builder recovery(final RecoveryMode recovery) {
            mRecovery = recovery;
            return this;
        }

        /** Sets what one deadline and one count of runs cover. */
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
