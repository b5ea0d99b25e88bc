package org.whinhead.membership;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The intervals and timeouts of gossip and failure detection.
 *
 * @param heartbeatInterval the time between two heartbeats to the same peer
 * @param gossipInterval the time between two gossip messages to the same peer
 * @param minimumTimeout the lower bound of a peer's timeout; a silence longer than the timeout
 *     starts a probe
 * @param maximumTimeout the upper bound of a peer's timeout
 * @param probeTimeout the time in which a probed peer or another daemon must answer
 * @param rings the number of rings of the overlay, at least 1; a daemon has two neighbors on each
 */
public record MembershipSettings(
        Duration heartbeatInterval,
        Duration gossipInterval,
        Duration minimumTimeout,
        Duration maximumTimeout,
        Duration probeTimeout,
        int rings) {

    /** Validates all components. */
    public MembershipSettings {
        Arguments.requirePositive(heartbeatInterval, "heartbeatInterval");
        Arguments.requirePositive(gossipInterval, "gossipInterval");
        Arguments.requirePositive(minimumTimeout, "minimumTimeout");
        Arguments.requirePositive(maximumTimeout, "maximumTimeout");
        Arguments.requirePositive(probeTimeout, "probeTimeout");
        Arguments.requireAtLeast(rings, 1, "rings");
    }

    /** Returns the default settings; the design note gives their reasons. */
    public static MembershipSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds {@link MembershipSettings}. */
    public static final class Builder {
        private Duration mHeartbeatInterval = Duration.ofSeconds(1);
        private Duration mGossipInterval = Duration.ofMillis(500);
        private Duration mMinimumTimeout = Duration.ofSeconds(4);
        private Duration mMaximumTimeout = Duration.ofSeconds(20);
        private Duration mProbeTimeout = Duration.ofSeconds(3);
        private int mRings = 4;

        private Builder() {}

        /** Sets the time between two heartbeats to the same peer. */
        public Builder heartbeatInterval(final Duration interval) {
            mHeartbeatInterval = interval;
            return this;
        }

        /** Sets the time between two gossip messages to the same peer. */
        public Builder gossipInterval(final Duration interval) {
            mGossipInterval = interval;
            return this;
        }

        /** Sets the lower bound of a peer's timeout. */
        public Builder minimumTimeout(final Duration timeout) {
            mMinimumTimeout = timeout;
            return this;
        }

        /** Sets the upper bound of a peer's timeout. */
        public Builder maximumTimeout(final Duration timeout) {
            mMaximumTimeout = timeout;
            return this;
        }

        /** Sets the time in which a probe must be answered. */
        public Builder probeTimeout(final Duration timeout) {
            mProbeTimeout = timeout;
            return this;
        }

        /** Sets the number of rings of the overlay. */
        public Builder rings(final int rings) {
            mRings = rings;
            return this;
        }

        /** Builds the settings. */
        public MembershipSettings build() {
            return new MembershipSettings(
                    mHeartbeatInterval,
                    mGossipInterval,
                    mMinimumTimeout,
                    mMaximumTimeout,
                    mProbeTimeout,
                    mRings);
        }
    }
}
