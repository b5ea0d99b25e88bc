package org.whinhead.daemon.log;

import java.time.Instant;

/** One event of a duty. */
@FunctionalInterface
interface TimedTask {

    /**
     * Handles the event; on the duty's thread.
     *
     * @param now the time
     */
    void run(Instant now);
}
