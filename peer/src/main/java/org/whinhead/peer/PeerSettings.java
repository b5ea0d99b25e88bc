package org.whinhead.peer;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Bounds of a transport.
 *
 * @param longestFrame the longest frame in bytes
 * @param mostUnauthenticated how many connections may be open that have not proved who they are
 * @param handshakeTimeout how long a connection may take to prove it
 * @param idleTimeout how long a connection may be silent
 * @param firstBackoff the longest wait before the second attempt to connect; doubles each time
 * @param longestBackoff the longest wait of all
 * @param queue the bounds of the messages that wait for one peer
 */
public record PeerSettings(
        int longestFrame,
        int mostUnauthenticated,
        Duration handshakeTimeout,
        Duration idleTimeout,
        Duration firstBackoff,
        Duration longestBackoff,
        QueueBounds queue) {

    /** Checks every part. */
    public PeerSettings {
        Arguments.requireAtLeast(longestFrame, 1, "longestFrame");
        Arguments.requireAtLeast(mostUnauthenticated, 1, "mostUnauthenticated");
        Arguments.requirePositive(handshakeTimeout, "handshakeTimeout");
        Arguments.requirePositive(idleTimeout, "idleTimeout");
        Arguments.requirePositive(firstBackoff, "firstBackoff");
        Arguments.requirePositive(longestBackoff, "longestBackoff");
    }

    /** Returns the settings that the design note gives reasons for. */
    public static PeerSettings defaults() {
        return builder().build();
    }

    /** Starts a builder that holds the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Bounds of the messages that wait for one peer.
     *
     * @param messages how many in all
     * @param gossip how many of gossip
     * @param bytes how many bytes in all
     * @param bytesOfAll how many bytes for all peers together
     */
    public record QueueBounds(int messages, int gossip, long bytes, long bytesOfAll) {
        /** Checks every part. */
        public QueueBounds {
            Arguments.requireAtLeast(messages, 1, "messages");
            Arguments.requireAtLeast(gossip, 1, "gossip");
            Arguments.requireAtLeast(bytes, 1, "bytes");
            Arguments.requireAtLeast(bytesOfAll, 1, "bytesOfAll");
        }
    }

    /** Builds {@link PeerSettings}. */
    public static final class Builder {
        private int mLongestFrame = 1 << 20;
        private int mMostUnauthenticated = 64;
        private Duration mHandshakeTimeout = Duration.ofSeconds(5);
        private Duration mIdleTimeout = Duration.ofMinutes(1);
        private Duration mFirstBackoff = Duration.ofMillis(200);
        private Duration mLongestBackoff = Duration.ofSeconds(30);
        private QueueBounds mQueue = new QueueBounds(256, 16, 2L << 20, 32L << 20);

        private Builder() {}

        /** Sets the longest frame in bytes. */
        public Builder longestFrame(final int bytes) {
            mLongestFrame = bytes;
            return this;
        }

        /** Sets how many connections may be open that have not proved who they are. */
        public Builder mostUnauthenticated(final int connections) {
            mMostUnauthenticated = connections;
            return this;
        }

        /** Sets how long a connection may take to prove who it is. */
        public Builder handshakeTimeout(final Duration timeout) {
            mHandshakeTimeout = timeout;
            return this;
        }

        /** Sets how long a connection may be silent. */
        public Builder idleTimeout(final Duration timeout) {
            mIdleTimeout = timeout;
            return this;
        }

        /** Sets the longest wait before the second attempt to connect. */
        public Builder firstBackoff(final Duration backoff) {
            mFirstBackoff = backoff;
            return this;
        }

        /** Sets the longest wait before any attempt to connect. */
        public Builder longestBackoff(final Duration backoff) {
            mLongestBackoff = backoff;
            return this;
        }

        /** Sets the bounds of the messages that wait for one peer. */
        public Builder queue(final QueueBounds queue) {
            mQueue = queue;
            return this;
        }

        /** Builds the settings. */
        public PeerSettings build() {
            return new PeerSettings(
                    mLongestFrame,
                    mMostUnauthenticated,
                    mHandshakeTimeout,
                    mIdleTimeout,
                    mFirstBackoff,
                    mLongestBackoff,
                    mQueue);
        }
    }
}
