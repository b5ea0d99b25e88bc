package org.whinhead.admission.budget;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.model.DaemonId;

/**
 * A time window whose accrued tokens, of all teams, one holder may grant. It is a log record, so it
 * outlives the holder.
 *
 * @param holder the holder
 * @param from the start, inclusive
 * @param until the end, exclusive
 */
public record GrantWindow(DaemonId holder, Instant from, Instant until) {

    /** Checks that all components are present. */
    public GrantWindow {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(until, "until");
    }
}
