package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * A reading of both clocks of a VM. The steady clock stops while a VM is suspended, and the time of
 * day may be set back; the longer of both elapsed times detects either.
 *
 * @param steady the time of the steady clock
 * @param timeOfDay the time of day
 */
public record ClockReading(Instant steady, Instant timeOfDay) {

    /** Checks the components. */
    public ClockReading {
        Objects.requireNonNull(steady, "steady");
        Objects.requireNonNull(timeOfDay, "timeOfDay");
    }

    /**
     * Returns the time elapsed since an earlier reading.
     *
     * @param earlier the earlier reading
     * @return the longer of the elapsed times of both clocks
     */
    public Duration elapsedSince(final ClockReading earlier) {
        final Duration bySteady = Duration.between(earlier.steady, steady);
        final Duration byTimeOfDay = Duration.between(earlier.timeOfDay, timeOfDay);
        return bySteady.compareTo(byTimeOfDay) > 0 ? bySteady : byTimeOfDay;
    }
}
