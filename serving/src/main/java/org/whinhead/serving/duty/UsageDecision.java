package org.whinhead.serving.duty;

import java.util.Map;
import java.util.TreeMap;

/**
 * Final counts of a window, and whether their report was delivered to the platform.
 *
 * @param window the window's number
 * @param counts the numbers of requests by customer
 * @param delivered whether the platform has accepted the report
 */
public record UsageDecision(long window, Map<String, Long> counts, boolean delivered) {

    /** Copies the counts, sorted by customer. */
    public UsageDecision {
        counts = java.util.Collections.unmodifiableMap(new TreeMap<>(counts));
    }

    /**
     * Returns a copy marked as delivered.
     *
     * @return the copy
     */
    public UsageDecision asDelivered() {
        return new UsageDecision(window, counts, true);
    }
}
