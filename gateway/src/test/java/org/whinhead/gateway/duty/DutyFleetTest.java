package org.whinhead.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DutyFleetTest {

    private static final int SEEDS = 100;
    private static final int DRILLS = 4;

    // Guards against calls of a cut-off holder that reach the platform after its successor's.
    @ParameterizedTest
    @ValueSource(ints = {6, 18, 66})
    void noCallArrivesAfterThoseOfSuccessor(final int daemons) {
        assertThat(staleCalls(daemons, List.of(DutyFleet.Cut.values()), true)).isEmpty();
    }

    // Guards against the same calls where a reset doesn't drop what is held up. What is on its way
    // when the cut begins can't be held back by its sender.
    @ParameterizedTest
    @ValueSource(ints = {6, 18, 66})
    void noCallArrivesAfterThoseOfSuccessorThoughResetsAreIgnored(final int daemons) {
        assertThat(staleCalls(daemons, List.of(DutyFleet.Cut.STORE, DutyFleet.Cut.BOTH), false))
                .noneMatch(call -> call.endsWith(DutyFleet.SENT_INTO_CUT));
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

    // Guards against a window reported twice with different counts after an older copy.
    @ParameterizedTest
    @CsvSource({"6, 0.1", "6, 1", "18, 0.1", "66, 0.1"})
    void noWindowIsReportedAgainWithOtherCounts(final int daemons, final double lostDatagrams) {
        final List<String> changed = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            final DutyFleet fleet = new DutyFleet(daemons, seed, List.of(), true);
            for (final String window : fleet.playDrills(DRILLS, lostDatagrams)) {
                changed.add("seed " + seed + ": " + window);
            }
            assertThat(fleet.reportedWindows()).as("windows, seed %d", seed).isPositive();
        }
        assertThat(changed).isEmpty();
    }

    // Guards against windows that are not reported although the store has lost nothing.
    @Test
    void eachWindowIsReportedWithoutDrill() {
        for (int seed = 0; seed < SEEDS; seed++) {
            final DutyFleet fleet = new DutyFleet(6, seed, List.of(), true);
            fleet.playCalm(Duration.ofMinutes(1));
            assertThat(fleet.unreportedWindows()).isZero();
            assertThat(fleet.reportedWindows()).isGreaterThan(8);
        }
    }
}
