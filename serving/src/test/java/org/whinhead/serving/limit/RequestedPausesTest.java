package org.whinhead.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RequestedPausesTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration THREE_SECONDS = Duration.ofSeconds(3);

    private final RequestedPauses mPauses = new RequestedPauses();

    @Test
    void pauseLastsAsAskedFor() {
        mPauses.add("e1", THREE_SECONDS, NOW);
        assertThat(mPauses.left("e1", NOW.plusSeconds(1))).contains(Duration.ofSeconds(2));
        assertThat(mPauses.knownFor("e1", NOW.plusSeconds(1))).contains(Duration.ofSeconds(1));
        assertThat(mPauses.left("e1", NOW.plusSeconds(3))).isEmpty();
        assertThat(mPauses.left("e2", NOW)).isEmpty();
    }

    @Test
    void pauseThatEndsLastCounts() {
        mPauses.add("e1", THREE_SECONDS, NOW);
        mPauses.add("e1", Duration.ofSeconds(1), NOW.plusSeconds(1));
        assertThat(mPauses.left("e1", NOW.plusSeconds(1))).contains(Duration.ofSeconds(2));
        mPauses.add("e1", THREE_SECONDS, NOW.plusSeconds(1));
        assertThat(mPauses.left("e1", NOW.plusSeconds(1))).contains(THREE_SECONDS);
    }

    @Test
    void endpointThatRestartsOrEndsIsForgotten() {
        mPauses.add("e1", THREE_SECONDS, NOW);
        mPauses.add("e2", THREE_SECONDS, NOW);
        assertThat(mPauses.count(NOW)).isEqualTo(2);
        mPauses.forget("e1");
        mPauses.retain(Set.of("e3"));
        assertThat(mPauses.count(NOW)).isZero();
    }
}
