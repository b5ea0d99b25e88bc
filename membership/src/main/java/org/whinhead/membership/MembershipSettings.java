package org.whinhead.membership;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * How often daemons talk and how long they wait.
 *
 * @param heartbeatInterval time between two heartbeats to the same peer
 * @param gossipInterval time between two messages of rumors to the same peer
 * @param minimumTimeout the shortest silence that puts a peer in question
 * @param maximumTimeout the longest silence that does not
 * @param probeTimeout how long a peer in question and its other observers have to answer
 * @param rings how many rings the overlay has; a daemon talks to two peers on each
 */
public record MembershipSettings(
        Duration heartbeatInterval,
        Duration gossipInterval,
        Duration minimumTimeout,
        Duration maximumTimeout,
        Duration probeTimeout,
        int rings) {

    /** Checks every part. */
    public MembershipSettings {
        Arguments.requirePositive(heartbeatInterval, "heartbeatInterval");
        Arguments.requirePositive(gossipInterval, "gossipInterval");
        Arguments.requirePositive(minimumTimeout, "minimumTimeout");
        Arguments.requirePositive(maximumTimeout, "maximumTimeout");
        Arguments.requirePositive(probeTimeout, "probeTimeout");
        Arguments.requireAtLeast(rings, 1, "rings");
    }

    /** Returns the settings that the design note gives reasons for. */
    public static MembershipSettings defaults() {
        return builder().build();
    }

    /** Starts a builder that holds the defaults. */
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

        /** Sets the time between two heartbeats. */
        public Builder heartbeatInterval(final Duration interval) {
            mHeartbeatInterval = interval;
            return this;
        }

        /** Sets the time between two messages of rumors. */
        public Builder gossipInterval(final Duration interval) {
            mGossipInterval = interval;
            return this;
        }

        /** Sets the shortest silence that puts a peer in question. */
        public Builder minimumTimeout(final Duration timeout) {
            mMinimumTimeout = timeout;
            return this;
        }

        /** Sets the longest silence that does not. */
        public Builder maximumTimeout(final Duration timeout) {
            mMaximumTimeout = timeout;
            return this;
        }

        /** Sets how long a probe may take. */
        public Builder probeTimeout(final Duration timeout) {
            mProbeTimeout = timeout;
            return this;
        }

        /** Sets how many rings the overlay has. */
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
