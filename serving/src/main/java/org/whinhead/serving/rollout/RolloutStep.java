package org.whinhead.serving.rollout;

import java.time.Duration;
import java.util.List;
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
 * @param routes routes that another part of goes there; empty if all get the same
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
        List<RouteShare> routes,
        Duration oldStopsIn) {

    /** Checks the parts. */
    public RolloutStep {
        Arguments.requireText(service, "service");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(oldStopsIn, "oldStopsIn");
        routes = List.copyOf(routes);
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share is no part: " + share);
        }
    }

    /**
     * Makes a step that gives all routes the same share.
     *
     * @param service the service
     * @param order the offset of the order
     * @param token the fencing token of the holder
     * @param sequence the number of the step
     * @param state how far the roll-out is
     * @param share the part of the requests that go to the new version
     * @param oldStopsIn when the old endpoints will stop; zero if that is not near
     */
    public RolloutStep(
            final String service,
            final long order,
            final long token,
            final long sequence,
            final RolloutState state,
            final double share,
            final Duration oldStopsIn) {
        this(service, order, token, sequence, state, share, List.of(), oldStopsIn);
    }

    /** Tells whether this step is newer than another one: by order, holder and number. */
    boolean isNewerThan(final RolloutStep other) {
        if (order != other.order) {
            return order > other.order;
        }
        if (token != other.token) {
            return token > other.token;
        }
        return sequence > other.sequence;
    }
}
