package org.whinhead.admission.budget;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Settings of the budget protocol.
 *
 * @param window the duration that a holder reserves in advance with one log record
 * @param burst the capacity of a team's token bucket, as the time to fill it at the team's rate
 * @param portionLife the time until a portion expires
 * @param resendInterval the time after which an unanswered request is sent again
 * @param holderTimeout the time without an answer after which the holder is treated as unavailable
 * @param fallbackShare the share of its even share that a daemon spends while the holder is
 *     unavailable, 0 to 1
 */
public record BudgetSettings(
        Duration window,
        Duration burst,
        Duration portionLife,
        Duration resendInterval,
        Duration holderTimeout,
        double fallbackShare) {

    /** A log record at most every five seconds; half the even share without a holder. */
    public static final BudgetSettings DEFAULT =
            new BudgetSettings(
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(5),
                    Duration.ofMillis(250),
                    Duration.ofMillis(1500),
                    0.5);

    /** Checks the ranges. */
    public BudgetSettings {
        Arguments.requirePositive(window, "window");
        Arguments.requirePositive(burst, "burst");
        Arguments.requirePositive(portionLife, "portionLife");
        Arguments.requirePositive(resendInterval, "resendInterval");
        Arguments.requirePositive(holderTimeout, "holderTimeout");
        if (!(fallbackShare >= 0 && fallbackShare <= 1)) {
            throw new IllegalArgumentException(
                    "fallbackShare must be between 0 and 1, but is " + fallbackShare);
        }
    }
}
