package org.whinhead.gateway.endpoint;

import java.util.Objects;
import java.util.Optional;

/**
 * The source endpoint's reply to the request to move a run.
 *
 * @param copied whether the target has a copy of the run's KV cache
 * @param run the stopped run; empty if the run was not stopped
 */
public record MoveOutcome(boolean copied, Optional<MovedRun> run) {

    /** Checks that no component is null. */
    public MoveOutcome {
        Objects.requireNonNull(run, "run");
    }
}
