package org.whinhead.admission.budget;

import java.time.Duration;
import org.whinhead.api.Arguments;

/**
 * Times and shares of the budget protocol.
 *
 * @param window how long a holder reserves ahead with one log record
 * @param burst how much unspent income a team may save up
 * @param portionLife how long a portion may be spent
 * @param answerTimeout when a question is asked again
 * @param holderTimeout when an unanswered question means that the holder is away
 * @param evenShare the part of its even share that a daemon spends while the holder is away, 0 to 1
 */
public record BudgetSettings(
        Duration window,
        Duration burst,
        Duration portionLife,
        Duration resendInterval,
        Duration holderTimeout,
        double fallbackShare) {

    /** A record every five seconds at most; half the even share while the holder is away. */
    public static final BudgetSettings DEFAULT =
            new BudgetSettings(
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(5),
                    Duration.ofMillis(250),
                    Duration.ofMillis(1500),
                    0.5);

    /** Checks every part. */
    public BudgetSettings {
        Arguments.requirePositive(window, "window");
        Arguments.requirePositive(burst, "burst");
        Arguments.requirePositive(portionLife, "portionLife");
        Arguments.requirePositive(resendInterval, "resendInterval");
        Arguments.requirePositive(holderTimeout, "holderTimeout");
        if (!(fallbackShare >= 0 && fallbackShare <= 1)) {
            throw new IllegalArgumentException("fallbackShare is " + fallbackShare);
        }
    }
}
