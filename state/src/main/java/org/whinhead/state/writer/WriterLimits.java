package org.whinhead.state.writer;

import org.whinhead.api.Arguments;

/**
 * How much a writer takes in.
 *
 * @param maxQueuedRecords records that may wait
 * @param maxBatchRecords records in one append
 */
public record WriterLimits(int maxQueuedRecords, int maxBatchRecords) {

    /** Checks both bounds. */
    public WriterLimits {
        Arguments.requireAtLeast(maxQueuedRecords, 1, "maxQueuedRecords");
        Arguments.requireAtLeast(maxBatchRecords, 1, "maxBatchRecords");
    }
}
