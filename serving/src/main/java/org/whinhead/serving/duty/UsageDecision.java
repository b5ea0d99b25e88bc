package org.whinhead.serving.duty;

import java.util.Map;
import java.util.TreeMap;

/**
 * The counts of a window as they were decided, and whether the platform has taken them.
 *
 * @param window the window's number
 * @param counts requests by customer
 * @param delivered whether the report was accepted
 */
public record UsageDecision(long window, Map<String, Long> counts, boolean delivered) {

    /** Copies the counts in the order of their customers. */
    public UsageDecision {
        counts = java.util.Collections.unmodifiableMap(new TreeMap<>(counts));
    }

    /**
     * Marks the decision as delivered.
     *
     * @return the marked decision
     */
    public UsageDecision asDelivered() {
        return new UsageDecision(window, counts, true);
    }
}
