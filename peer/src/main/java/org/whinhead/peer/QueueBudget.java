package org.whinhead.peer;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The memory budget that the queues of all peers share. Thread-safe.
 *
 * <p>When many peers are unreachable at once, as when a region is partitioned, each queue may be
 * within its own bound while all together would fill the daemon's memory.
 */
final class QueueBudget {

    private final long mMaxBytes;
    private final AtomicLong mBytes = new AtomicLong();

    QueueBudget(final long maxBytes) {
        mMaxBytes = maxBytes;
    }

    void add(final long bytes) {
        mBytes.addAndGet(bytes);
    }

    boolean isExceeded() {
        return mBytes.get() > mMaxBytes;
    }
}
