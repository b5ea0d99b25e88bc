package org.whinhead.state.lease;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The times of a lease.
 *
 * <p>The margin stands for how far the clocks of holder and claimant may drift apart over one
 * duration; it is taken off on the holder's side and added on the claimant's.
 *
 * @param duration how long a lease lasts after it was taken or renewed
 * @param margin how much earlier its holder stops, and how much later others claim
 * @param renewInterval how long a holder waits between renewals
 * @param maxClaimJitter the longest random wait of a claimant, so that few claim at once
 */
public record LeaseTiming(
        Duration duration, Duration margin, Duration renewInterval, Duration maxClaimJitter) {

    /** Checks every part. */
    public LeaseTiming {
        Arguments.requirePositive(duration, "duration");
        Arguments.requirePositive(margin, "margin");
        Arguments.requirePositive(renewInterval, "renewInterval");
        Arguments.requirePositive(maxClaimJitter, "maxClaimJitter");
        if (renewInterval.plus(margin).compareTo(duration) >= 0) {
            throw new IllegalArgumentException("no renewal fits into the duration");
        }
    }
}
