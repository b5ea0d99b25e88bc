package org.whinhead.serving.duty;

import java.util.List;
import java.util.Objects;

/**
 * Stored record of the lease on the duties.
 *
 * <p>Lease and decisions share one record: a decision is written only while the lease is held, and
 * the next holder reads the decisions with the lease that it takes over.
 *
 * @param holder the incarnation of the holder; empty after a release
 * @param token the fencing token, which grows with each holder
 * @param beat the number of the renewal, so that no two records are equal
 * @param decisions the decisions of the last windows
 */
public record LeaseRecord(String holder, long token, long beat, List<UsageDecision> decisions) {

    /** Checks and copies the components. */
    public LeaseRecord {
        Objects.requireNonNull(holder, "holder");
        decisions = List.copyOf(decisions);
    }

    public boolean isReleased() {
        return holder.isEmpty();
    }
}
