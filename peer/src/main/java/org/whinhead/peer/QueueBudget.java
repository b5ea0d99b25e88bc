package org.whinhead.peer;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bytes that wait for all peers together; safe for any thread.
 *
 * <p>Guards against many peers that are away at once, as when a region is cut off: each queue would
 * be within its own bound, and all together would fill the daemon's memory.
 */
final class QueueBudget {

    private final long mMaxBytes;
    private final AtomicLong mBytes = new AtomicLong();

    QueueBudget(final long mostBytes) {
        mMaxBytes = mostBytes;
    }

    void add(final long bytes) {
        mBytes.addAndGet(bytes);
    }

    boolean isExceeded() {
        return mBytes.get() > mMaxBytes;
    }
}
