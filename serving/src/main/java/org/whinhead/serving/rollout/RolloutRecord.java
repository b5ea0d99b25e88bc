package org.whinhead.serving.rollout;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * The stored state of a roll-out, from which another lease holder continues it.
 *
 * @param service the service
 * @param version the new version
 * @param order the offset of the order
 * @param startedAt the time of day at which the order was first seen
 * @param state the state; a final one is stored before it is sent to any daemon
 */
public record RolloutRecord(
        String service, String version, long order, Instant startedAt, RolloutState state) {

    /** Checks the components. */
    public RolloutRecord {
        Arguments.requireText(service, "service");
        Arguments.requireText(version, "version");
        Objects.requireNonNull(startedAt, "startedAt");
        Objects.requireNonNull(state, "state");
    }

    RolloutRecord withState(final RolloutState changed) {
        return new RolloutRecord(service, version, order, startedAt, changed);
    }
}
