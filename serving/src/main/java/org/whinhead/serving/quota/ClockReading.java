package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * A moment by both clocks of a VM. The steady clock stands still while a VM is suspended, and the
 * time of day may be set back; neither hides that time has passed from both.
 *
 * @param steady the steady time
 * @param timeOfDay the time of day
 */
public record ClockReading(Instant steady, Instant timeOfDay) {

    /** Checks the parts. */
    public ClockReading {
        Objects.requireNonNull(steady, "steady");
        Objects.requireNonNull(timeOfDay, "timeOfDay");
    }

    /**
     * Tells how much time has passed since an earlier moment.
     *
     * @param earlier the earlier moment
     * @return the time by the clock that shows more
     */
    public Duration elapsedSince(final ClockReading earlier) {
        final Duration bySteady = Duration.between(earlier.steady, steady);
        final Duration byTimeOfDay = Duration.between(earlier.timeOfDay, timeOfDay);
        return bySteady.compareTo(byTimeOfDay) > 0 ? bySteady : byTimeOfDay;
    }
}
