package org.whinhead.serving.rollout;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * An instruction that the lease holder sends to every daemon about a roll-out.
 *
 * @param service the service
 * @param order the offset of the order that is carried out
 * @param token the fencing token of the holder
 * @param sequence the number of the step among those of this holder
 * @param state the state of the roll-out
 * @param share the share of requests that the new version receives while it is running, 0 to 1
 * @param routes the routes with a share of their own; empty if all have the same
 * @param oldStopsIn the time until the old endpoints stop, once the new version receives all
 *     requests; zero before that
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

    /** Checks the components. */
    public RolloutStep {
        Arguments.requireText(service, "service");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(oldStopsIn, "oldStopsIn");
        routes = List.copyOf(routes);
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("share is not from 0 to 1: " + share);
        }
    }

    /**
     * Creates a step that gives all routes the same share.
     *
     * @param service the service
     * @param order the offset of the order
     * @param token the fencing token of the holder
     * @param sequence the number of the step
     * @param state the state of the roll-out
     * @param share the share of the requests that the new version receives, 0 to 1
     * @param oldStopsIn the time until the old endpoints stop; zero if that is not near
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

    /** Returns whether this step is newer, by order, fencing token and sequence number. */
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
