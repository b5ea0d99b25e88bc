package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

class RouteSampleNeedTest {

    private static final double SHARE = 0.1;

    private static List<RouteShare> split(final double unsplit, final RouteSampleNeed... needs) {
        return RouteSampleNeed.split(List.of(needs), SHARE, unsplit);
    }

    /** Spread evenly, the route that fails most never shows enough. */
    @Test
    void routeThatNeedsMoreGetsMore() {
        final List<RouteShare> shares =
                split(
                        0,
                        new RouteSampleNeed("often", 0.5, 60),
                        new RouteSampleNeed("seldom", 0.5, 20));

        assertThat(shares.get(0).share()).isCloseTo(0.15, within(1e-9));
        assertThat(shares.get(1).share()).isCloseTo(0.05, within(1e-9));
    }

    @Test
    void meanIsKept() {
        final List<RouteShare> shares =
                split(0, new RouteSampleNeed("many", 0.8, 10), new RouteSampleNeed("few", 0.2, 10));

        assertThat(0.8 * shares.get(0).share() + 0.2 * shares.get(1).share())
                .isCloseTo(SHARE, within(1e-9));
    }

    @Test
    void routeThatNeedsNothingIsWatchedOn() {
        final List<RouteShare> shares =
                split(
                        0,
                        new RouteSampleNeed("shown", 0.5, 0),
                        new RouteSampleNeed("open", 0.5, 40));

        assertThat(shares.get(0).share()).isPositive();
    }

    /** What the takeover shows of each route needn't be shown before. */
    @Test
    void laterRequestsAreReckonedWith() {
        final RouteSampleNeed often = new RouteSampleNeed("often", 0.5, 60);
        final RouteSampleNeed seldom = new RouteSampleNeed("seldom", 0.5, 20);

        assertThat(split(30, often, seldom).get(0).share())
                .isGreaterThan(split(0, often, seldom).get(0).share());
    }
}
