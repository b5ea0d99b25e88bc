package org.whinhead.state.lease;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * The durations of a lease.
 *
 * <p>The margin is the highest clock drift between holder and claimant over one duration; the
 * holder subtracts it and a claimant adds it.
 *
 * @param duration the time that a lease lasts after a claim or renewal; longer than the renewal
 *     interval plus the margin
 * @param margin the time by which the holder stops earlier and others claim later
 * @param renewInterval the time between two renewals by the holder
 * @param maxClaimJitter the longest random delay of a claim, so that few daemons claim at once
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
            throw new IllegalArgumentException(
                    "renewInterval plus margin must be shorter than duration");
        }
    }
}
