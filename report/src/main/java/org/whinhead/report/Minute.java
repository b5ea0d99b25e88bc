package org.whinhead.report;

import java.util.Objects;

/**
 * The requests that ended in one minute.
 *
 * @param number minutes since 1970
 * @param counts the sums
 */
public record Minute(long number, Counts counts) {

    /** Checks the sums. */
    public Minute {
        Objects.requireNonNull(counts, "counts");
    }
}
