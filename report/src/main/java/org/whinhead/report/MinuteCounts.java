package org.whinhead.report;

import java.util.Objects;

/**
 * The counts of requests that ended in one minute.
 *
 * @param epochMinute the minute, in minutes since 1970-01-01T00:00:00Z
 * @param counts the sums of the minute
 */
public record MinuteCounts(long epochMinute, Counts counts) {

    /** Checks the components. */
    public MinuteCounts {
        Objects.requireNonNull(counts, "counts");
    }
}
