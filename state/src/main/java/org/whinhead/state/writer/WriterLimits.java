package org.whinhead.state.writer;

import org.whinhead.api.Arguments;

/**
 * How much a writer takes in.
 *
 * @param queue records that may wait
 * @param batch records in one append
 */
public record WriterLimits(int queue, int batch) {

    /** Checks both bounds. */
    public WriterLimits {
        Arguments.requireAtLeast(queue, 1, "queue");
        Arguments.requireAtLeast(batch, 1, "batch");
    }
}
