package org.whinhead.state.writer;

import org.whinhead.api.Arguments;

/**
 * The limits of a writer.
 *
 * @param maxQueuedRecords the highest number of queued records, at least 1
 * @param maxBatchRecords the highest number of records in an append, at least 1
 */
public record WriterLimits(int maxQueuedRecords, int maxBatchRecords) {

    /** Checks both limits. */
    public WriterLimits {
        Arguments.requireAtLeast(maxQueuedRecords, 1, "maxQueuedRecords");
        Arguments.requireAtLeast(maxBatchRecords, 1, "maxBatchRecords");
    }
}
