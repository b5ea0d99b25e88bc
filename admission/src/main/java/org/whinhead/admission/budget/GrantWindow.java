package org.whinhead.admission.budget;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.model.DaemonId;

/**
 * A stretch of time whose whole income, of every team, one holder may give out; one log record, so
 * that it outlives the holder.
 *
 * @param holder the holder
 * @param from the first moment
 * @param until the moment after the last
 */
public record GrantWindow(DaemonId holder, Instant from, Instant until) {

    /** Checks every part. */
    public GrantWindow {
        Objects.requireNonNull(holder, "holder");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(until, "until");
    }
}
