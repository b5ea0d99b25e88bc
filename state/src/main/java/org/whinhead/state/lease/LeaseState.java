package org.whinhead.state.lease;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;

/**
 * The lease of one duty after the applied log records.
 *
 * @param duty the duty
 * @param holder the daemon that holds the lease or held it last
 * @param duration the time that the lease lasts after its newest record
 * @param fencing the fencing number: the offset of the record that claimed the lease
 * @param newest the offset of the newest record of the lease, which a claim must name
 * @param released whether the holder released the lease
 */
public record LeaseState(
        String duty,
        DaemonId holder,
        Duration duration,
        long fencing,
        long newest,
        boolean released) {

    /** Checks every part. */
    public LeaseState {
        Arguments.requireText(duty, "duty");
        Objects.requireNonNull(holder, "holder");
        Arguments.requirePositive(duration, "duration");
        Arguments.requireAtLeast(fencing, 0, "fencing");
        Arguments.requireAtLeast(newest, fencing, "newest");
    }
}
