package org.whinhead.standins.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.log.LogSimulation.AppendResult;
import org.whinhead.standins.log.LogSimulation.ReadResult;
import org.whinhead.standins.log.LogSimulation.Status;

final class LogSimulationTest {

    private static final Instant NOW = Instant.parse("2026-03-02T08:00:00Z");

    private final LogSimulation mLog =
            new LogSimulation(new LogConfig("127.0.0.1", 0, 2, Duration.ofMinutes(1)));

    @Test
    void streamsHaveSeparateOffsetsAndSharedRateLimit() {
        assertThat(mLog.append("a", List.of("eA==", "eQ=="), NOW))
                .isEqualTo(new AppendResult(Status.OK, 0));
        assertThat(mLog.append("b", List.of("eA=="), NOW))
                .isEqualTo(new AppendResult(Status.OK, 0));
        assertThat(mLog.append("a", List.of("eA=="), NOW.plusMillis(999)).status())
                .isEqualTo(Status.OVER_CAP);
        assertThat(mLog.append("a", List.of("eA=="), NOW.plusSeconds(1)))
                .isEqualTo(new AppendResult(Status.OK, 2));
        assertThat(mLog.read("a", 1, 1, NOW).next()).isEqualTo(2);
    }

    @Test
    void expiredRecordsKeepTheirOffsets() {
        mLog.append("a", List.of("eA==", "eQ=="), NOW);
        mLog.append("a", List.of("eg=="), NOW.plusSeconds(50));
        final Instant later = NOW.plusSeconds(61);
        final ReadResult expired = mLog.read("a", 1, 10, later);
        assertThat(expired.status()).isEqualTo(Status.EXPIRED);
        assertThat(expired.oldest()).isEqualTo(2);
        assertThat(mLog.read("a", 2, 10, later).records().get(0).data()).isEqualTo("eg==");
        assertThat(mLog.read("a", 3, 10, NOW.plusSeconds(900)).oldest()).isEqualTo(3);
    }
}
