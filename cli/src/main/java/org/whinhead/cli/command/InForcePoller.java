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

/** Asks at a fixed pace, and a limited number of times, whether all daemons hold a revision. */
final class InForcePoller implements AutoCloseable {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(250);

    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private final DaemonClient mClient;

    InForcePoller(final DaemonClient client) {
        mClient = client;
    }

    /** Asks until no daemon is missing or the time is up; returns the last answer. */
    JsonNode await(final long revision, final Duration bound) throws CliException {
        final long asks = bound.dividedBy(POLL_INTERVAL) + 1;
        JsonNode answer = poll(revision);
        for (long asked = 1; asked < asks && !isComplete(answer); asked++) {
            answer = pollAfterInterval(revision);
        }
        return answer;
    }

    /** Tells whether an answer names no daemon as missing. */
    static boolean isComplete(final JsonNode answer) {
        return answer.path("missing").isEmpty();
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
