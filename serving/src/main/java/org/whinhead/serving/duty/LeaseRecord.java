package org.whinhead.serving.duty;

import java.util.List;
import java.util.Objects;

/**
 * What the store holds of the duties.
 *
 * <p>Lease and decisions are one record: a decision is written only while the lease is held, and a
 * later holder finds the decisions with the lease that it takes over.
 *
 * @param holder the process that holds the lease; empty after a release
 * @param token the fencing token, which grows with each holder
 * @param beat grows with each renewal, so that no two records are alike
 * @param decisions the decisions of the last windows
 */
public record LeaseRecord(String holder, long token, long beat, List<UsageDecision> decisions) {

    /** Checks and copies the parts. */
    public LeaseRecord {
        Objects.requireNonNull(holder, "holder");
        decisions = List.copyOf(decisions);
    }

    public boolean isReleased() {
        return holder.isEmpty();
    }
}
