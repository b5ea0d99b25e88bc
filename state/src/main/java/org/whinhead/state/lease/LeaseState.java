package org.whinhead.state.lease;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;

/**
 * The lease of one duty as the log has it.
 *
 * @param duty the duty
 * @param holder who holds it, or held it last
 * @param duration how long it lasts after its newest record
 * @param fencing the offset of the record that it was taken with, its fencing number
 * @param newest the offset of its newest record, which a claimant must name
 * @param released whether the holder gave it up
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
