package org.whinhead.gateway.caller;

import org.whinhead.api.Arguments;

/**
 * The memory for the bodies of all requests that a daemon holds. Without a limit, bodies of many
 * callers use up the direct memory, and every read of the event loop then waits for a garbage
 * collection, or fails.
 *
 * <p>Short bodies have memory of their own, so that long ones never displace them.
 */
final class RequestBodyBudget {

    /** The longest body that is short. */
    static final int SHORT_BYTES = 64 * 1024;

    private final long mMaxBytes;
    private final long mMaxShortBytes;
    private long mUsedBytes;
    private long mUsedShortBytes;

    /**
     * Creates a budget of which nothing is used.
     *
     * @param maxBytes the most bytes of all long bodies
     * @param maxShortBytes the most bytes of all short bodies
     */
    RequestBodyBudget(final long maxBytes, final long maxShortBytes) {
        mMaxBytes = Arguments.requireAtLeast(maxBytes, 1, "maxBytes");
        mMaxShortBytes = Arguments.requireAtLeast(maxShortBytes, 1, "maxShortBytes");
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
     * Reserves room for more of a body.
     *
     * @param reserved the bytes that are reserved for it
     * @param bytes the bytes that it takes, more than that
     * @return whether there was room; otherwise nothing has changed
     */
    boolean grow(final long reserved, final long bytes) {
        if (bytes <= SHORT_BYTES) {
            if (bytes - reserved > mMaxShortBytes - mUsedShortBytes) {
                return false;
            }
            mUsedShortBytes += bytes - reserved;
            return true;
        }
        final long missing = bytes - (reserved <= SHORT_BYTES ? 0 : reserved);
        if (missing > mMaxBytes - mUsedBytes) {
            return false;
        }
        if (reserved <= SHORT_BYTES) {
            mUsedShortBytes -= reserved;
        }
        mUsedBytes += missing;
        return true;
    }

    /**
     * Gives the room of a body back.
     *
     * @param reserved the bytes that are reserved for it
     */
    void release(final long reserved) {
        if (reserved <= SHORT_BYTES) {
            mUsedShortBytes -= reserved;
        } else {
            mUsedBytes -= reserved;
        }
    }

    /** Returns the bytes of all long bodies. */
    long usedBytes() {
        return mUsedBytes;
    }

    /** Returns the bytes of all short bodies. */
    long usedShortBytes() {
        return mUsedShortBytes;
    }
}
