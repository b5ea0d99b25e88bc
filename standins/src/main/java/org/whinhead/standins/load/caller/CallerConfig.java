package org.whinhead.standins.load.caller;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.whinhead.api.Arguments;

/**
 * How callers behave.
 *
 * @param targets daemons to ask for addresses at first
 * @param deadline how long a caller waits for its whole answer, retries included
 * @param answerSilence how long a daemon may take to begin an answer before it counts as lost
 * @param streamSilence how long a stream may be silent before its daemon counts as lost
 * @param connectTimeout how long a connection may take
 */
public record CallerConfig(
        List<URI> targets,
        Duration deadline,
        Duration responseTimeout,
        Duration streamIdleTimeout,
        Duration connectTimeout) {

    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
    private static final Duration DEFAULT_RESPONSE_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration DEFAULT_STREAM_IDLE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Checks every part and copies the list. */
    public CallerConfig {
        targets = List.copyOf(targets);
        Arguments.requireAtLeast(targets.size(), 1, "targets");
        Arguments.requirePositive(deadline, "deadline");
        Arguments.requirePositive(responseTimeout, "answerSilence");
        Arguments.requirePositive(streamIdleTimeout, "streamSilence");
        Arguments.requirePositive(connectTimeout, "connectTimeout");
    }

    /**
     * Makes the usual behaviour: 30 s in all, 10 s to begin, 5 s of silence, 1 s to connect.
     *
     * @param targets daemons to ask for addresses at first
     * @return the configuration
     */
    public static CallerConfig of(final List<URI> targets) {
        return new CallerConfig(
                targets,
                DEFAULT_DEADLINE,
                DEFAULT_RESPONSE_TIMEOUT,
                DEFAULT_STREAM_IDLE_TIMEOUT,
                DEFAULT_CONNECT_TIMEOUT);
    }

    /**
     * Returns this configuration with another deadline.
     *
     * @param next the deadline
     * @return the copy
     */
    public CallerConfig withDeadline(final Duration next) {
        return new CallerConfig(targets, next, responseTimeout, streamIdleTimeout, connectTimeout);
    }

    /**
     * Returns this configuration with other bounds on silence.
     *
     * @param toBegin how long a daemon may take to begin an answer
     * @param inStream how long a stream may be silent
     * @return the copy
     */
    public CallerConfig withTimeouts(final Duration toBegin, final Duration inStream) {
        return new CallerConfig(targets, deadline, toBegin, inStream, connectTimeout);
    }
}
