package org.whinhead.serving.ratelimit;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

/**
 * The owner's response to a {@link PermitRequest}.
 *
 * @param claimant the address of the daemon that asked
 * @param id the id of its request
 * @param outcome whether the request may be sent
 * @param after the time until then; if it may not, the time until the next one may be
 * @param statement what the owner knows of the limit
 */
public record PermitResponse(
        InetSocketAddress claimant,
        long id,
        PermitOutcome outcome,
        Duration after,
        LimitStatement statement) {

    /** Checks the components. */
    public PermitResponse {
        Objects.requireNonNull(claimant, "claimant");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(after, "after");
        Objects.requireNonNull(statement, "statement");
    }
}
