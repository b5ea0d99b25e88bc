package org.whinhead.standins.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.FailureDomain;

final class VmListSimulationTest {

    private static final Instant NOW = Instant.parse("2026-03-02T08:00:00Z");
    private static final VmEntry VM =
            new VmEntry(
                    "a",
                    "127.0.0.1",
                    new FailureDomain("kigali", "kg-gasabo"),
                    "engine-small",
                    Billing.RECLAIMABLE,
                    false,
                    VmEntry.Role.ENGINE,
                    "http://127.0.0.1:1",
                    "",
                    true,
                    8);

    private final VmListSimulation mList = new VmListSimulation(Duration.ofSeconds(3));

    @BeforeEach
    void seed() {
        mList.seed(VM);
    }

    @Test
    void showsChangesAfterTheLag() {
        mList.markLeaving("a", NOW);
        mList.remove("a", NOW.plusSeconds(1));
        assertThat(shown(2999)).containsExactly(VM);
        assertThat(shown(3000)).containsExactly(VM.asLeaving());
        assertThat(shown(4000)).isEmpty();
    }

    /** The list is frozen for an hour: it still returns a removed VM as live. */
    @Test
    void frozenListReturnsRemovedVm() {
        mList.freeze(true, NOW);
        mList.remove("a", NOW.plusSeconds(1));
        assertThat(shown(3_600_000)).containsExactly(VM);
        mList.freeze(false, NOW.plusSeconds(3601));
        assertThat(shown(3_601_000)).isEmpty();
    }

    private List<VmEntry> shown(final long millis) {
        return mList.list(NOW.plusMillis(millis)).vms();
    }
}
