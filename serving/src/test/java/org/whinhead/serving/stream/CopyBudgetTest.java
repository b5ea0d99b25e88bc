package org.whinhead.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CopyBudgetTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    // Guards against streams that are forgotten with a few daemons, and against control messages
    // that take the link of a busy daemon.
    @ParameterizedTest
    @CsvSource({"1, 6", "8, 6", "14, 4", "25, 3", "200, 3"})
    void copiesFallWithTheRateOfStreams(final int streamsPerSecond, final int copies) {
        final CopyBudget budget = new CopyBudget();
        int told = 0;
        for (int stream = 0; stream < 10 * streamsPerSecond; stream++) {
            told = budget.countStream(START.plusMillis(1_000L * stream / streamsPerSecond));
        }
        assertThat(told).isEqualTo(copies);
    }
}
