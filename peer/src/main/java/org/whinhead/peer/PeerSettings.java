package org.whinhead.peer;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The limits and timeouts of a transport.
 *
 * @param longestFrame the maximum length of a frame in bytes, at least 1
 * @param mostUnauthenticated the maximum number of accepted connections that are not yet
 *     identified, at least 1
 * @param handshakeTimeout the time in which a connection must be established and identified
 * @param idleTimeout the time without received data after which a connection is closed
 * @param firstBackoff the maximum wait before the second attempt to connect; doubles with each
 *     further attempt
 * @param longestBackoff the maximum wait before any attempt to connect
 * @param queue the bounds of the message queues
 */
public record PeerSettings(
        int longestFrame,
        int mostUnauthenticated,
        Duration handshakeTimeout,
        Duration idleTimeout,
        Duration firstBackoff,
        Duration longestBackoff,
        QueueBounds queue) {

    /** Validates all components. */
    public PeerSettings {
        Arguments.requireAtLeast(longestFrame, 1, "longestFrame");
        Arguments.requireAtLeast(mostUnauthenticated, 1, "mostUnauthenticated");
        Arguments.requirePositive(handshakeTimeout, "handshakeTimeout");
        Arguments.requirePositive(idleTimeout, "idleTimeout");
        Arguments.requirePositive(firstBackoff, "firstBackoff");
        Arguments.requirePositive(longestBackoff, "longestBackoff");
    }

    /** Returns the default settings; the design note gives their reasons. */
    public static PeerSettings defaults() {
        return builder().build();
    }

    /** Returns a builder that starts from the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * The bounds of the message queues, each at least 1.
     *
     * @param messages the maximum number of messages to one peer
     * @param gossip the maximum number of gossip messages to one peer
     * @param bytes the maximum number of bytes to one peer
     * @param bytesOfAll the maximum number of bytes to all peers together
     */
    public record QueueBounds(int messages, int gossip, long bytes, long bytesOfAll) {
        /** Validates all components. */
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

        /** Sets the maximum length of a frame in bytes. */
        public Builder longestFrame(final int bytes) {
            mLongestFrame = bytes;
            return this;
        }

        /** Sets the maximum number of accepted connections that are not yet identified. */
        public Builder mostUnauthenticated(final int connections) {
            mMostUnauthenticated = connections;
            return this;
        }

        /** Sets the time in which a connection must be established and identified. */
        public Builder handshakeTimeout(final Duration timeout) {
            mHandshakeTimeout = timeout;
            return this;
        }

        /** Sets the time without received data after which a connection is closed. */
        public Builder idleTimeout(final Duration timeout) {
            mIdleTimeout = timeout;
            return this;
        }

        /** Sets the maximum wait before the second attempt to connect. */
        public Builder firstBackoff(final Duration backoff) {
            mFirstBackoff = backoff;
            return this;
        }

        /** Sets the maximum wait before any attempt to connect. */
        public Builder longestBackoff(final Duration backoff) {
            mLongestBackoff = backoff;
            return this;
        }

        /** Sets the bounds of the message queues. */
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
