package org.whinhead.admission;

import java.time.Duration;
import java.util.Objects;

/**
 * What a budget says to a request.
 *
 * @param kind the answer
 * @param retryAfter when to come back; zero unless refused
 */
public record BudgetDecision(Kind kind, Duration retryAfter) {

    /** The tokens are reserved. */
    public static final BudgetDecision RESERVED = new BudgetDecision(Kind.RESERVED, Duration.ZERO);

    /** The holder was asked; the request may wait for its answer. */
    public static final BudgetDecision PENDING = new BudgetDecision(Kind.PENDING, Duration.ZERO);

    /** Checks both parts. */
    public BudgetDecision {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(retryAfter, "retryAfter");
    }

    /**
     * Refuses.
     *
     * @param retryAfter when to come back
     * @return the decision
     */
    public static BudgetDecision refused(final Duration retryAfter) {
        return new BudgetDecision(Kind.REFUSED, retryAfter);
    }

    /** Kinds of answer. */
    public enum Kind {
        /** The tokens are reserved. */
        RESERVED,
        /** An answer of the holder is on its way. */
        PENDING,
        /** The budget is spent for now. */
        REFUSED
    }
}
