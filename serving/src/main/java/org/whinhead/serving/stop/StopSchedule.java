package org.whinhead.serving.stop;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * The schedule of a graceful stop, from the signal until the process would be killed.
 *
 * <p>A request may be sent to an endpoint only if its own limit passes before the last answer is
 * due: by then it has an answer, whatever the endpoint does. All else is refused at once.
 */
public final class StopSchedule {

    /** The delay until connections without a request are closed. */
    private static final Duration CLOSE_IDLE_AFTER = Duration.ofMillis(300);

    /** The time for which callers connect whose copy of the directory still names the daemon. */
    private static final Duration MAX_ACCEPT_TIME = Duration.ofMillis(4_000);

    /** The part of the grace period after which no connections are accepted is one over this. */
    private static final int ACCEPT_DIVISOR = 2;

    /** The time before the exit in which last answers are written. */
    private static final Duration LAST_ANSWER_TIME = Duration.ofMillis(200);

    /** The time before the end of the grace period that an exit takes on a busy core. */
    private static final Duration EXIT_TIME = Duration.ofMillis(100);

    private final Instant mSignalledAt;
    private final Duration mGrace;

    /**
     * Creates the schedule of a stop.
     *
     * @param signalledAt the earliest time at which the signal may have arrived
     * @param grace the time from the signal until the process is killed; positive
     */
    public StopSchedule(final Instant signalledAt, final Duration grace) {
        mSignalledAt = Objects.requireNonNull(signalledAt, "signalledAt");
        mGrace = Arguments.requirePositive(grace, "grace");
    }

    /**
     * Returns the time of the signal.
     *
     * @return the earliest time at which it may have arrived
     */
    public Instant signalledAt() {
        return mSignalledAt;
    }

    /**
     * Returns the time at which connections without a request are closed.
     *
     * @return the time
     */
    public Instant closesIdleAt() {
        return mSignalledAt.plus(CLOSE_IDLE_AFTER);
    }

    /**
     * Returns the time from which no connections are accepted, and the process ends once nothing is
     * left to be answered.
     *
     * @return the time
     */
    public Instant stopsAcceptingAt() {
        final Duration part = mGrace.dividedBy(ACCEPT_DIVISOR);
        return mSignalledAt.plus(part.compareTo(MAX_ACCEPT_TIME) < 0 ? part : MAX_ACCEPT_TIME);
    }

    /**
     * Returns the time at which requests without an answer get their last one.
     *
     * @return the time
     */
    public Instant lastAnswersAt() {
        return exitsAt().minus(LAST_ANSWER_TIME);
    }

    /**
     * Returns the time at which the process ends, whatever is left.
     *
     * @return the time
     */
    public Instant exitsAt() {
        return mSignalledAt.plus(mGrace).minus(EXIT_TIME);
    }

    /**
     * Returns whether the process lasts as long as a request may take.
     *
     * @param deadline the time by which the request has an answer at the latest
     * @return false if the request may have none before the last answers are due
     */
    public boolean outlasts(final Instant deadline) {
        return !deadline.isAfter(lastAnswersAt());
    }
}
