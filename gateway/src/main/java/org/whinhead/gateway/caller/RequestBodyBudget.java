package org.whinhead.gateway.caller;

import org.whinhead.api.Arguments;

/**
 * The memory for the bodies of all requests that a daemon holds. Without a limit, long bodies of a
 * few callers use up the direct memory, and every read of the event loop then waits for a garbage
 * collection.
 */
final class RequestBodyBudget {

    /** Bodies up to this size are not counted, so that long ones never displace them. */
    static final int UNCOUNTED_BYTES = 64 * 1024;

    private final long mMaxBytes;
    private long mUsedBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes the most bytes of all counted bodies
     */
    RequestBodyBudget(final long maxBytes) {
        mMaxBytes = Arguments.requireAtLeast(maxBytes, 1, "maxBytes");
    }

    /**
     * Returns whether a body could be held if it were the only one.
     *
     * @param bytes the length of the body
     */
    boolean isWithin(final long bytes) {
        return bytes <= mMaxBytes;
    }

    /**
     * Reserves room for a body, or for more of it.
     *
     * @param bytes the bytes, at least 0
     * @return whether there was room
     */
    boolean reserve(final long bytes) {
        if (bytes > mMaxBytes - mUsedBytes) {
            return false;
        }
        mUsedBytes += bytes;
        return true;
    }

    /**
     * Gives reserved room back.
     *
     * @param bytes the bytes
     */
    void release(final long bytes) {
        mUsedBytes -= bytes;
    }

    long usedBytes() {
        return mUsedBytes;
    }
}
