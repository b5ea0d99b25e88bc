package org.whinhead.simulation.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.serving.capacity.CapacitySettings;

class CapacitySimulationTest {

    private static final Path DAYS = Path.of("..", "examples", "simulation");
    private static final long SEED = 20_261_203;

    @TempDir private Path mFolder;

    private static CapacityOutcome simulate(final String day) throws IOException {
        return CapacitySimulation.run(
                CapacityDay.read(DAYS.resolve(day + ".json")), CapacitySettings.USUAL, SEED);
    }

    // Guards against half of the callers failing in the first sixteen seconds of a large service
    // with four reclaimed domains. Figures of a deployment of 95 daemons: 75 endpoints listed over
    // two seconds, demand for 50, reports two seconds old, notices of 2 s, starts of 4 s. Orders in
    // time lose almost no requests.
    @Test
    void largeServiceLosesFewRequestsAtStartAndInFourReclaims() throws IOException {
        final CapacityOutcome outcome = simulate("large-first-seconds");
        assertThat(outcome.wholeDay()).isGreaterThan(0.97);
        assertThat(outcome.worstWindows()).isGreaterThan(0.9);
        assertThat(outcome.paidPerNeeded()).isLessThan(2.7);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "calm-then-reclaim",
                "nine-domains",
                "slow-starts",
                "three-reclaims-store-away",
                "two-reclaims-six-daemons",
            })
    void reclaimsLoseFewRequests(final String day) throws IOException {
        final CapacityOutcome outcome = simulate(day);
        assertThat(outcome.wholeDay()).isGreaterThan(0.97);
        assertThat(outcome.worstWindows()).isGreaterThan(0.9);
    }

    // Guards against two seconds without service, as in a deployment of 66 daemons and 42 engines:
    // all three domains are reclaimed within six seconds, the last two 2.3 s apart, endpoints start
    // in 4.2 s, no reclaimable ones are available for fifteen seconds, and demand rises to 1.4
    // times
    // the usual. On-demand endpoints ordered at the first notice start before the last domain ends.
    @Test
    void threeReclaimsWithinSixSecondsLeaveCapacity() throws IOException {
        final CapacityOutcome outcome = simulate("three-reclaims-in-six-seconds");
        final CapacityOutcome oneLoss =
                CapacitySimulation.run(
                        CapacityDay.read(DAYS.resolve("three-reclaims-in-six-seconds.json")),
                        CapacitySettings.usual().lossesInWave(1).burstReserve(1).build(),
                        SEED);
        assertThat(outcome.wholeDay()).isGreaterThan(0.9);
        assertThat(outcome.worstWindows()).isGreaterThan(2 * oneLoss.worstWindows());
    }

    // Guards against a model that serves more than its endpoints can: a queue that saved idle
    // capacity for later served every request under every policy.
    @Test
    void demandAboveCapacityLosesRequests() throws IOException {
        final CapacityOutcome outcome =
                CapacitySimulation.run(
                        CapacityDay.read(DAYS.resolve("three-reclaims-in-six-seconds.json")),
                        CapacitySettings.builder().build(),
                        SEED);
        assertThat(outcome.wholeDay()).isLessThan(0.9);
    }

    @Test
    void sameSeedGivesSameOutcome() throws IOException {
        assertThat(simulate("slow-starts")).isEqualTo(simulate("slow-starts"));
    }

    @Test
    void unknownFieldIsRejected() throws IOException {
        final String text = Files.readString(DAYS.resolve("slow-starts.json"));
        final Path file = mFolder.resolve("day.json");
        Files.writeString(file, text.replaceFirst("\"swing\"", "\"swings\""));
        assertThatThrownBy(() -> CapacityDay.read(file)).hasMessageContaining("swings");
    }

    @Test
    void valueOutOfRangeIsRejected() throws IOException {
        final String text = Files.readString(DAYS.resolve("slow-starts.json"));
        final Path file = mFolder.resolve("day.json");
        Files.writeString(file, text.replaceFirst("\"bootSeconds\": 12", "\"bootSeconds\": 0"));
        assertThatThrownBy(() -> CapacityDay.read(file)).hasMessageContaining("bootSeconds");
    }
}
