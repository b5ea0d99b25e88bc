package org.whinhead.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.whinhead.cli.CliException;
import org.whinhead.cli.ExitCode;
import org.whinhead.cli.http.DaemonClient;

/** Polls at a fixed interval, with a timeout, whether a revision is in force on all daemons. */
final class InForcePoller implements AutoCloseable {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private final DaemonClient mClient;

    InForcePoller(final DaemonClient client) {
        mClient = client;
    }

    /** Polls until no daemon is missing or the timeout expires; returns the last response. */
    JsonNode await(final long revision, final Duration timeout) throws CliException {
        final long maxPolls = timeout.dividedBy(POLL_INTERVAL) + 1;
        JsonNode response = poll(revision);
        for (long polls = 1; polls < maxPolls && !isComplete(response); polls++) {
            response = pollAfterInterval(revision);
        }
        return response;
    }

    /** Returns whether a response lists no daemon as missing. */
    static boolean isComplete(final JsonNode response) {
        return response.path("missing").isEmpty();
    }

    private JsonNode pollAfterInterval(final long revision) throws CliException {
        try {
            return mScheduler
                    .schedule(() -> poll(revision), POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                    .get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof CliException cause) {
                throw cause;
            }
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.UNREACHABLE, "daemon.unreachable", "interrupted");
        }
    }

    private JsonNode poll(final long revision) throws CliException {
        return OperatorResponses.requireBody(
                mClient.get("/operator/settings/inforce?revision=" + revision));
    }

    @Override
    public void close() {
        mScheduler.shutdownNow();
    }
}
