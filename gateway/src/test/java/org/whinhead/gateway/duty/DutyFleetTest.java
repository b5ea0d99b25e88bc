package org.whinhead.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DutyFleetTest {

    private static final int SEEDS = 100;

    // Guards against calls of a cut-off holder that reach the platform after its successor's.
    @ParameterizedTest
    @ValueSource(ints = {6, 18, 66})
    void noCallArrivesAfterThoseOfSuccessor(final int daemons) {
        assertThat(staleCalls(daemons, List.of(DutyFleet.Cut.values()), true)).isEmpty();
    }

    // Guards against the same calls where a reset doesn't drop what is held up.
    @ParameterizedTest
    @ValueSource(ints = {6, 18, 66})
    void noCallArrivesAfterThoseOfSuccessorThoughResetsAreIgnored(final int daemons) {
        assertThat(staleCalls(daemons, List.of(DutyFleet.Cut.STORE, DutyFleet.Cut.BOTH), false))
                .isEmpty();
    }

    private static List<String> staleCalls(
            final int daemons, final List<DutyFleet.Cut> cuts, final boolean resetsHonoured) {
        final List<String> stale = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            final DutyFleet fleet = new DutyFleet(daemons, seed, cuts, resetsHonoured);
            for (final String call : fleet.playCuts()) {
                stale.add("seed " + seed + ": " + call);
            }
            assertThat(fleet.orders()).as("orders, seed %d", seed).isPositive();
        }
        return stale;
    }

    // Guards against orders that come late after a reclaim, as the lease is confirmed first.
    @ParameterizedTest
    @ValueSource(ints = {6, 18, 66})
    void orderFollowsReclaimWithinFiftyMilliseconds(final int daemons) {
        for (int seed = 0; seed < SEEDS; seed++) {
            final DutyFleet fleet = new DutyFleet(daemons, seed, List.of(), true);
            assertThat(fleet.playReclaims(3))
                    .isBetween(Duration.ofMillis(1), Duration.ofMillis(50));
        }
    }
}
