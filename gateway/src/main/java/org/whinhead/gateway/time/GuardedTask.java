package org.whinhead.gateway.time;

import org.slf4j.Logger;

/**
 * Runs tasks whose failure must not prevent what follows. An event loop cancels a periodic task
 * that throws, and a completed call drops what its callback throws, both without a log line.
 */
public final class GuardedTask {

    private GuardedTask() {}

    /**
     * Runs a task and logs an unexpected exception.
     *
     * @param logger the logger of the class that the task belongs to
     * @param name the task, for the message
     * @param task the task
     * @return whether the task ended without an exception
     */
    public static boolean run(final Logger logger, final String name, final Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException e) {
            logger.atError().addKeyValue("task", name).setCause(e).log("task failed");
            return false;
        }
    }
}
