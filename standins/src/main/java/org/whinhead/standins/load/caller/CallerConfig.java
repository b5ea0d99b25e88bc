package org.whinhead.standins.load.caller;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.whinhead.api.Arguments;

/**
 * Addresses and time limits of the load client.
 *
 * @param targets daemons that receive the first address queries; at least one
 * @param deadline the time limit of a request, including retries
 * @param answerSilence the time limit for the first token or the whole answer; after that the
 *     daemon is treated as lost
 * @param streamSilence the longest time without a line of a stream after its first token; after
 *     that the daemon is treated as lost
 * @param connectTimeout the time limit for opening a connection
 */
public record CallerConfig(
        List<URI> targets,
        Duration deadline,
        Duration answerSilence,
        Duration streamSilence,
        Duration connectTimeout) {

    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(30);
    private static final Duration DEFAULT_ANSWER_SILENCE = Duration.ofSeconds(10);
    private static final Duration DEFAULT_STREAM_SILENCE = Duration.ofSeconds(5);
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Checks the values and copies the list. */
    public CallerConfig {
        targets = List.copyOf(targets);
        Arguments.requireAtLeast(targets.size(), 1, "targets");
        Arguments.requirePositive(deadline, "deadline");
        Arguments.requirePositive(answerSilence, "answerSilence");
        Arguments.requirePositive(streamSilence, "streamSilence");
        Arguments.requirePositive(connectTimeout, "connectTimeout");
    }

    /**
     * Creates the default configuration: a deadline of 30 s, a response timeout of 10 s, a stream
     * idle timeout of 5 s and a connect timeout of 1 s.
     *
     * @param targets daemons that receive the first address queries; at least one
     * @return the configuration
     */
    public static CallerConfig of(final List<URI> targets) {
        return new CallerConfig(
                targets,
                DEFAULT_DEADLINE,
                DEFAULT_ANSWER_SILENCE,
                DEFAULT_STREAM_SILENCE,
                DEFAULT_CONNECT_TIMEOUT);
    }

    /**
     * Returns a copy of this configuration with another deadline.
     *
     * @param newDeadline the time limit of a request, including retries
     * @return the copy
     */
    public CallerConfig withDeadline(final Duration newDeadline) {
        return new CallerConfig(targets, newDeadline, answerSilence, streamSilence, connectTimeout);
    }

    /**
     * Returns a copy of this configuration with other timeouts.
     *
     * @param response the time limit for the start of an answer
     * @param streamIdle the longest time without a line of a stream
     * @return the copy
     */
    public CallerConfig withTimeouts(final Duration response, final Duration streamIdle) {
        return new CallerConfig(targets, deadline, response, streamIdle, connectTimeout);
    }
}
