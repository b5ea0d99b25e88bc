package org.whinhead.serving.rollout;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * What the holder of the duties tells every daemon of a roll-out.
 *
 * @param service the service
 * @param order the offset of the order that is carried out
 * @param token the fencing token of the holder
 * @param sequence the number of the step among those of this holder
 * @param state how far the roll-out is
 * @param share the part of the service's requests that go to the new version while it is running, 0
 *     to 1
 * @param oldStopsIn when the old endpoints will stop, once the new version gets everything; zero
 *     before that
 */
public record RolloutStep(
        String service,
        long order,
        long token,
        long sequence,
        RolloutState state,
        double share,
        Duration oldStopsIn) {

    /** Checks the parts. */
    public RolloutStep {
        Arguments.requireText(service, "service");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(oldStopsIn, "oldStopsIn");
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share is no part: " + share);
        }
    }

    /** Tells whether this step is newer than another one: by order, holder and number. */
    boolean isAfter(final RolloutStep other) {
        if (order != other.order) {
            return order > other.order;
        }
        if (token != other.token) {
            return token > other.token;
        }
        return sequence > other.sequence;
    }
}
