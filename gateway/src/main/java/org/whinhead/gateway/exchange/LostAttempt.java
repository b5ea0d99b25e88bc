package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.util.Map;

/**
 * An attempt on an endpoint that has crashed.
 *
 * @param age the time since it was sent
 * @param begun whether a part of its response was forwarded
 * @param levels the crashes that count against each suspected feature of its request, by name
 */
record LostAttempt(Duration age, boolean begun, Map<String, Integer> levels) {

    /** Copies the levels. */
    LostAttempt {
        levels = Map.copyOf(levels);
    }
}
