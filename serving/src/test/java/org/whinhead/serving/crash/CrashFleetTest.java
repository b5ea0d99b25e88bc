package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CrashFleetTest {

    private static final int MAX_LATER_SENDS = 3;
    private static final int MINUTE = 60_000;
    private static final int FIRST_SEED = 100;
    private static final int SEEDS = 10;
    private static final int MASS_CRASHES_MILLIS = 17_000;

    // Guards against endpoints that crash on and on under the same requests, sent to all daemons,
    // with lost messages and a third of the daemons cut off from the others at first.
    @ParameterizedTest
    @CsvSource({"8, 14, 1", "8, 14, 20", "66, 42, 1", "66, 42, 50", "330, 200, 50"})
    void crashingRequestsAreHeldBack(
            final int daemons, final int endpoints, final int crashingRequests) {
        final CrashFleet fleet =
                new CrashFleet(daemons, endpoints, 0.05, 54)
                        .addCrashing(crashingRequests, 300)
                        .addCommon(5, 40)
                        .addSingle(20)
                        .play(MINUTE);
        assertThat(fleet.crashing())
                .allSatisfy(
                        tally ->
                                assertThat(tally.laterSends())
                                        .isLessThanOrEqualTo(MAX_LATER_SENDS));
        // One that is always on endpoints that others crash may cause none itself.
        assertThat(fleet.crashing().stream().mapToInt(CrashFleet.CrashTally::crashes).sum())
                .isGreaterThanOrEqualTo(crashingRequests);
    }

    // Guards against requests that share a part under which endpoints crash, first or later in
    // their
    // prompts, and against refusing sound ones with the same other parts, with lost messages,
    // daemons that start anew and endpoints that crash of themselves.
    @ParameterizedTest
    @CsvSource({
        "8, 14, 1, 50, 1",
        "8, 14, 1, 5000, 1",
        "8, 14, 1, 500, 0.9",
        "8, 14, 5, 300, 1",
        "66, 42, 1, 50, 1",
        "66, 42, 5, 500, 0.9",
        "330, 200, 3, 100, 1"
    })
    void requestsWithCrashingPartsAreHeldBack(
            final int daemons,
            final int endpoints,
            final int parts,
            final int interval,
            final double probability) {
        final CrashFleet fleet =
                new CrashFleet(daemons, endpoints, 0.05, FIRST_SEED)
                        .addCrashingParts(parts, interval, probability)
                        .addSharing(20)
                        .addOwnCrashes(1, 7_000)
                        .addKills(9_000)
                        .play(MINUTE);
        assertThat(fleet.crashing())
                .allSatisfy(
                        tally ->
                                assertThat(tally.laterSends())
                                        .isLessThanOrEqualTo(MAX_LATER_SENDS));
        final int calls = fleet.innocentCalls();
        final int refusals = fleet.innocentRefusals();
        fleet.play(MINUTE / 2);
        assertThat(fleet.innocentCalls() - calls).isGreaterThan(1_000);
        assertThat(fleet.innocentRefusals() - refusals)
                .as("sound requests refused in half a minute, after %d before", refusals)
                .isZero();
    }

    // Guards against a part that crashes endpoints on and on which start again under their ids, and
    // are few.
    @ParameterizedTest
    @CsvSource({"1, 2, 110", "1, 6, 110", "8, 3, 200", "8, 14, 200"})
    void crashesOfEndpointsThatKeepTheirIdsCount(
            final int daemons, final int endpoints, final int interval) {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + 3 * SEEDS; seed++) {
            final CrashFleet fleet =
                    new CrashFleet(daemons, endpoints, 0.05, seed)
                            .keepIds()
                            .addSharing(120)
                            .addCrashingParts(1, interval, 1)
                            .play(MINUTE / 3);
            assertThat(fleet.crashing().get(0).laterSends()).isLessThanOrEqualTo(MAX_LATER_SENDS);
        }
    }

    // Guards against daemons that are cut off from each other keeping what they know to themselves
    // after the cut.
    @Test
    void knowledgeSpreadsAfterDaemonsWereCutOffFromEachOther() {
        final CrashFleet fleet =
                new CrashFleet(9, 14, 0.05, 54).addCrashing(1, 300).cutThird(5_000).play(MINUTE);
        assertThat(fleet.crashing().get(0).laterSends()).isLessThanOrEqualTo(MAX_LATER_SENDS);
    }

    // Guards against common requests that are refused for seconds after all endpoints crashed at
    // nearly the same moment, several times: each is on every endpoint, and is sent again at once.
    @ParameterizedTest
    @CsvSource({"1, 6, 5", "8, 14, 5", "8, 14, 20", "66, 42, 10"})
    void commonRequestsAreServedAfterAllEndpointsCrashed(
            final int daemons, final int endpoints, final int spreadMillis) {
        assertThat(refusalsAfterMassCrashes(daemons, endpoints, spreadMillis)).isZero();
    }

    // Guards against the same at the largest size, where daemons that miss messages are the rule.
    @Test
    void commonRequestsAreServedAfterAllEndpointsOfLargestFleetCrashed() {
        assertThat(refusalsAfterMassCrashes(330, 200, 10)).isZero();
    }

    /** Returns the calls that are refused later than 5 s after the last of several mass crashes. */
    private static int refusalsAfterMassCrashes(
            final int daemons, final int endpoints, final int spreadMillis) {
        int refusals = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            final CrashFleet fleet =
                    new CrashFleet(daemons, endpoints, 0.05, seed)
                            .addCommon(4, 4)
                            .addMassCrashes(3_200, spreadMillis)
                            .play(MASS_CRASHES_MILLIS)
                            .stopMassCrashes()
                            .play(5_000);
            final int before = fleet.innocentRefusals();
            refusals += fleet.play(10_000).innocentRefusals() - before;
        }
        return refusals;
    }

    // Guards against innocent requests that are refused because endpoints crash of themselves, one
    // by one or several at the same moment.
    @ParameterizedTest
    @CsvSource({"8, 14, 1, 2000", "8, 14, 5, 6000", "66, 42, 14, 6000", "330, 200, 60, 6000"})
    void innocentRequestsAreServed(
            final int daemons, final int endpoints, final int crashes, final int interval) {
        long calls = 0;
        long refusals = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            final CrashFleet fleet =
                    new CrashFleet(daemons, endpoints, 0.05, seed)
                            .addCommon(10, 20)
                            .addSingle(2)
                            .addOwnCrashes(crashes, interval)
                            .play(MINUTE);
            calls += fleet.innocentCalls();
            refusals += fleet.innocentRefusals();
        }
        assertThat(calls).isGreaterThan(500_000);
        assertThat(refusals).isLessThanOrEqualTo(calls / 100_000);
    }
}
