package org.whinhead.daemon.duty;

import org.whinhead.daemon.ring.EventRing;

/** A duty's thread, which runs short tasks from a bounded ring one after the other. */
public final class TaskLoop implements AutoCloseable {

    private final EventRing<Runnable> mRing;

    /**
     * Starts a duty's thread.
     *
     * @param name the thread's name
     * @param slots the ring's size, a power of two
     */
    public TaskLoop(final String name, final int slots) {
        mRing = new EventRing<>(name, slots, (task, endOfBatch) -> task.run());
        mRing.start();
    }

    /**
     * Offers a task.
     *
     * @param task the task; it must not block
     * @return false if the ring is full; nothing was taken in then
     */
    public boolean offer(final Runnable task) {
        return mRing.offer(task);
    }

    /** Stops the thread after the task in hand; tasks that wait are dropped. */
    @Override
    public void close() {
        mRing.halt();
    }
}
