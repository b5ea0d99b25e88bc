package org.whinhead.report;

import java.util.Objects;

/**
 * The requests that ended in one minute.
 *
 * @param epochMinute minutes since 1970
 * @param counts the sums
 */
public record MinuteCounts(long epochMinute, Counts counts) {

    /** Checks the sums. */
    public MinuteCounts {
        Objects.requireNonNull(counts, "counts");
    }
}
