package org.whinhead.state.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.ClaimEntry;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;

class ClaimTableTest {

    private static final Duration WINDOW = Duration.ofHours(1);
    private static final int CLAIMS = 1_000_000;

    // Control work may use 256 MB of memory. One hour of claims must fit and must be removed after
    // the hour.
    @Test
    void claimTakesAtMostFiftyBytesAndExpiresWithItsGeneration() {
        final ClaimTable table = new ClaimTable(WINDOW, 100);
        final SplittableRandom random = new SplittableRandom(5);
        final Instant start = Instant.EPOCH;
        for (int claim = 1; claim <= CLAIMS; claim++) {
            final Instant at = start.plusMillis(claim * WINDOW.toMillis() / CLAIMS);
            apply(table, claim, at, random.nextLong(), random.nextLong());
        }
        assertThat(table.size()).isEqualTo(CLAIMS);
        assertThat((double) table.memoryBytes() / CLAIMS).isBetween(30.0, 50.0);
        apply(table, CLAIMS + 1, start.plus(WINDOW.multipliedBy(3)), 1, 1);
        assertThat(table.size()).isEqualTo(1);
    }

    private static void apply(
            final ClaimTable table,
            final long sequence,
            final Instant at,
            final long high,
            final long low) {
        final ClaimEntry claim = new ClaimEntry(ClaimEntry.Action.CLAIM, high, low, sequence);
        final RecordId id = new RecordId(new DaemonId("w"), sequence);
        table.apply(
                new LogEntry(sequence, at, new LogRecord.ClaimBatch(id, List.of(claim))),
                (key, attempt, holder) -> assertThat(holder).isEqualTo(attempt));
    }
}
