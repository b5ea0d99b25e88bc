package org.whinhead.serving.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;

class UsageLedgerTest {

    @Test
    void windowsAreCountedFromTheEpoch() {
        final UsageWindows windows = new UsageWindows(Duration.ofSeconds(5));
        assertThat(windows.windowAt(Instant.ofEpochMilli(4_999))).isZero();
        assertThat(windows.windowAt(Instant.ofEpochMilli(5_000))).isEqualTo(1);
        assertThat(windows.endOf(1)).isEqualTo(Instant.ofEpochMilli(10_000));
    }

    @Test
    void countsOfPeersAreAdded() {
        final UsageLedger ledger = new UsageLedger("self");
        ledger.recordStart(7, "clinic");
        ledger.mergePeerCount("other", new UsageCount(7, "clinic", 3));
        ledger.mergePeerCount("other", new UsageCount(7, "clinic", 2));
        ledger.mergePeerCount("other", new UsageCount(7, "bailiff", 1));
        assertThat(ledger.totals(7)).isEqualTo(Map.of("clinic", 4L, "bailiff", 1L));
    }

    // A window is reported short by what a killed daemon had counted. Its new process reports its
    // own
    // counts from nothing, and they replaced those of the process before.
    @Test
    void countsOfPreviousIncarnationAreKept() {
        final UsageLedger ledger = new UsageLedger("self");
        ledger.mergePeerCount("other-1", new UsageCount(7, "clinic", 30));
        ledger.mergePeerCount("other-2", new UsageCount(7, "clinic", 2));
        assertThat(ledger.totals(7)).isEqualTo(Map.of("clinic", 32L));
    }

    @Test
    void oldWindowsAreDropped() {
        final UsageLedger ledger = new UsageLedger("self");
        ledger.recordStart(1, "clinic");
        ledger.recordStart(20, "clinic");
        assertThat(ledger.ownCounts()).containsExactly(new UsageCount(20, "clinic", 1));
    }
}
