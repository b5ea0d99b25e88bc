package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CrashEventsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final CrashEvents mEvents = new CrashEvents();

    private static RequestFeature feature(final int shape) {
        return new RequestFeature(shape, shape, shape);
    }

    private long add(final String endpoint, final long millis, final Integer... shapes) {
        return mEvents.add(
                endpoint,
                List.of(shapes).stream().map(CrashEventsTest::feature).toList(),
                START.plusMillis(millis));
    }

    @Test
    void requestsOfOneCrashAreKeptTogether() {
        final long first = add("e-1", 0, 1, 2);
        final long second = add("e-2", 10, 3);
        assertThat(add("e-1", 900, 4)).isEqualTo(first);
        assertThat(mEvents.shapes(first)).containsExactlyInAnyOrder(1, 2, 4);
        assertThat(mEvents.shapes(second)).containsExactly(3);
        assertThat(mEvents.shapes(99)).isEmpty();
    }

    // Guards against a crash that doesn't count because the endpoint has crashed before: it has
    // started again under the same id.
    @Test
    void laterCrashUnderTheSameIdIsAnotherOne() {
        final long first = add("e-1", 0, 1);
        final long second = add("e-1", 1_000, 2);
        assertThat(second).isNotEqualTo(first);
        assertThat(mEvents.shapes(second)).containsExactly(2);
    }

    // Guards against memory that grows with the requests that callers invent.
    @Test
    void memoryIsBounded() {
        final long first = add("e-0", 0, IntStream.range(0, 5_000).boxed().toArray(Integer[]::new));
        assertThat(mEvents.shapes(first)).hasSize(512);
        long last = 0;
        for (int number = 1; number < 200; number++) {
            last = add("e-" + number, 0, number);
        }
        assertThat(mEvents.shapes(first)).isEmpty();
        assertThat(mEvents.shapes(last)).containsExactly(199);
    }
}
