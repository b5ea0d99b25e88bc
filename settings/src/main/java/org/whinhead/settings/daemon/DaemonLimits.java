package org.whinhead.settings.daemon;

import org.whinhead.api.Arguments;

/**
 * Limits on the resources of one daemon.
 *
 * @param maxBodyBytes the largest body of a caller's request, in bytes, at least 1
 * @param ringSize the number of slots of each ring buffer between duties, a power of two
 * @param maxInProgress the maximum number of requests in progress, at least 1
 */
public record DaemonLimits(long maxBodyBytes, int ringSize, int maxInProgress) {

    /** Defaults for limits missing in the file: 8 MiB, 4096 slots, 2048 requests. */
    public static final DaemonLimits DEFAULT = new DaemonLimits(8L << 20, 4096, 2048);

    /** Validates the components. */
    public DaemonLimits {
        Arguments.requireAtLeast(maxBodyBytes, 1, "maxBodyBytes");
        Arguments.requireAtLeast(maxInProgress, 1, "maxInProgress");
        if (Integer.bitCount(ringSize) != 1) {
            throw new IllegalArgumentException("ringSize is not a power of two: " + ringSize);
        }
    }
}
