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
        assertThat(windows.at(Instant.ofEpochMilli(4_999))).isZero();
        assertThat(windows.at(Instant.ofEpochMilli(5_000))).isEqualTo(1);
        assertThat(windows.end(1)).isEqualTo(Instant.ofEpochMilli(10_000));
    }

    @Test
    void reportsOfOtherDaemonsAreAdded() {
        final UsageLedger ledger = new UsageLedger("self");
        ledger.began(7, "clinic");
        ledger.peerCount("other", new UsageCount(7, "clinic", 3));
        ledger.peerCount("other", new UsageCount(7, "clinic", 2));
        ledger.peerCount("other", new UsageCount(7, "bailiff", 1));
        assertThat(ledger.total(7)).isEqualTo(Map.of("clinic", 4L, "bailiff", 1L));
    }

    // A window is reported short by what a killed daemon had counted. Its new process reports its
    // own
    // counts from nothing, and they replaced those of the process before.
    @Test
    void countsOfProcessBeforeRestartStay() {
        final UsageLedger ledger = new UsageLedger("self");
        ledger.peerCount("other-1", new UsageCount(7, "clinic", 30));
        ledger.peerCount("other-2", new UsageCount(7, "clinic", 2));
        assertThat(ledger.total(7)).isEqualTo(Map.of("clinic", 32L));
    }

    @Test
    void oldWindowsAreDropped() {
        final UsageLedger ledger = new UsageLedger("self");
        ledger.began(1, "clinic");
        ledger.began(20, "clinic");
        assertThat(ledger.own()).containsExactly(new UsageCount(20, "clinic", 1));
    }
}
