package org.whinhead.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * The result of a budget reservation.
 *
 * @param kind the result
 * @param retryAfter the delay before a retry; zero unless refused
 */
public record BudgetDecision(Kind kind, Duration retryAfter) {

    /** The decision that the tokens are reserved. */
    public static final BudgetDecision RESERVED = new BudgetDecision(Kind.RESERVED, Duration.ZERO);

    /** The decision that the request may wait for an answer of the budget holder. */
    public static final BudgetDecision PENDING = new BudgetDecision(Kind.PENDING, Duration.ZERO);

    /** Checks that both components are present. */
    public BudgetDecision {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Returns a refusal.
     *
     * @param retryAfter the delay before a retry
     * @return the decision
     */
    public static BudgetDecision refused(final Duration retryAfter) {
        return new BudgetDecision(Kind.REFUSED, retryAfter);
    }

    /** The kinds of result. */
    public enum Kind {
        /** The tokens are reserved. */
        RESERVED,
        /** The budget holder has yet to answer a request for tokens. */
        PENDING,
        /** The budget is spent for now. */
        REFUSED
    }
}
