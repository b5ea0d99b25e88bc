package org.whinhead.gateway.endpoint;

import java.util.Objects;
import java.util.Optional;

/**
 * The answer to a move.
 *
 * @param copied whether the target has the memory
 * @param run what names the stopped run; empty if it was not stopped
 */
public record MoveOutcome(boolean copied, Optional<MovedRun> run) {

    /** Checks the parts. */
    public MoveOutcome {
        Objects.requireNonNull(run, "run");
    }
}
