package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class GuardedEndpointsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final RequestFeature FIRST = new RequestFeature(1, 1, 1);
    private static final RequestFeature SECOND = new RequestFeature(2, 2, 2);
    private static final RequestFeature OTHER = new RequestFeature(3, 3, 3);

    private final GuardedEndpoints mEndpoints = new GuardedEndpoints();

    @Test
    void suspectedRequestExplainsCrashForOthersOnly() {
        mEndpoints.start("e-1", List.of(FIRST), START);
        assertThat(mEndpoints.explain("e-1", List.of(OTHER), START)).isTrue();
        assertThat(mEndpoints.explain("e-1", List.of(FIRST, OTHER), START)).isFalse();
        assertThat(mEndpoints.explain("e-2", List.of(OTHER), START)).isFalse();
    }

    // Guards against a request that goes unblamed for good, as another one that is suspected too
    // runs at the same endpoints by chance.
    @Test
    void ofTwoSuspectedRequestsNeitherExplainsTheOther() {
        mEndpoints.start("e-1", List.of(FIRST), START);
        mEndpoints.start("e-1", List.of(SECOND), START);
        assertThat(mEndpoints.explain("e-1", List.of(FIRST), START)).isFalse();
        assertThat(mEndpoints.explain("e-1", List.of(SECOND), START)).isFalse();
        assertThat(mEndpoints.containsOther("e-1", List.of(SECOND), START)).isTrue();
        assertThat(mEndpoints.explain("e-1", List.of(OTHER), START)).isTrue();
    }

    @Test
    void requestThatHasEndedExplainsNothing() {
        mEndpoints.start("e-1", List.of(FIRST, SECOND), START);
        mEndpoints.end(List.of(SECOND));
        assertThat(mEndpoints.contains("e-1", START)).isFalse();
    }

    @Test
    void requestIsForgottenAfterOneSecond() {
        mEndpoints.start("e-1", List.of(FIRST), START);
        assertThat(mEndpoints.contains("e-1", START.plusMillis(999))).isTrue();
        assertThat(mEndpoints.contains("e-1", START.plusSeconds(1))).isFalse();
    }

    @Test
    void memoryIsBounded() {
        for (int number = 0; number < 5_000; number++) {
            mEndpoints.start("e-" + number, List.of(FIRST), START);
        }
        assertThat(mEndpoints.contains("e-0", START)).isFalse();
        assertThat(mEndpoints.contains("e-4999", START)).isTrue();
    }
}
