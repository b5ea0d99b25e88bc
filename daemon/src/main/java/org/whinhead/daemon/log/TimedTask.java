package org.whinhead.daemon.log;

import java.time.Instant;

/** A task of a {@link TimedTaskLoop}. */
@FunctionalInterface
interface TimedTask {

    /**
     * Runs the task on the loop's thread.
     *
     * @param now the current time
     */
    void run(Instant now);
}
