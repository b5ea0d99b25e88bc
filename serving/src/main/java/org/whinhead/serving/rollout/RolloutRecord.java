package org.whinhead.serving.rollout;

import java.time.Instant;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * What the store keeps of a roll-out, so that another holder goes on with it.
 *
 * @param service the service
 * @param version the new version
 * @param order the offset of the order
 * @param startedAt the time of day at which the order was first seen
 * @param state how far it is; a final one is written before it is told to anybody
 */
public record RolloutRecord(
        String service, String version, long order, Instant startedAt, RolloutState state) {

    /** Checks the parts. */
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
