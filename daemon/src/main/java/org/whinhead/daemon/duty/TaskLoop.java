package org.whinhead.daemon.duty;

import org.whinhead.daemon.ring.EventRing;

/** A thread that runs short tasks from a bounded ring in order. */
public final class TaskLoop implements AutoCloseable {

    private final EventRing<Runnable> mRing;

    /**
     * Creates a loop and starts its thread.
     *
     * @param name the thread's name
     * @param slots the number of slots of the ring, a power of two
     */
    public TaskLoop(final String name, final int slots) {
        mRing = new EventRing<>(name, slots, (task, endOfBatch) -> task.run());
        mRing.start();
    }

    /**
     * Offers a task.
     *
     * @param task the task; it must not block
     * @return false if the ring is full and the task was not accepted
     */
    public boolean offer(final Runnable task) {
        return mRing.offer(task);
    }

    /** Stops the thread after the current task; waiting tasks are dropped. */
    @Override
    public void close() {
        mRing.halt();
    }
}
