package org.whinhead.settings.daemon;

import org.whinhead.api.Arguments;

/**
 * How much one daemon takes on.
 *
 * @param maxBodyBytes the largest body of a caller's request
 * @param ringSize the slots of each ring between duties, a power of two
 * @param maxInProgress how many requests may be in progress at once
 */
public record DaemonLimits(long maxBodyBytes, int ringSize, int maxInProgress) {

    /** What holds where the file says nothing: 8 MiB, 4096 slots, 2048 requests. */
    public static final DaemonLimits DEFAULT = new DaemonLimits(8L << 20, 4096, 2048);

    /** Checks every part. */
    public DaemonLimits {
        Arguments.requireAtLeast(maxBodyBytes, 1, "maxBodyBytes");
        Arguments.requireAtLeast(maxInProgress, 1, "maxInProgress");
        if (Integer.bitCount(ringSize) != 1) {
            throw new IllegalArgumentException("ringSize is not a power of two: " + ringSize);
        }
    }
}
