package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class CrashEventsTest {

    private final CrashEvents mEvents = new CrashEvents();

    private static RequestFeature feature(final int shape) {
        return new RequestFeature(shape, shape, shape);
    }

    @Test
    void requestsOfOneEndpointAreKeptTogether() {
        mEvents.add("e-1", List.of(feature(1), feature(2)));
        mEvents.add("e-2", List.of(feature(3)));
        mEvents.add("e-1", List.of(feature(4)));
        assertThat(mEvents.shapes("e-1")).containsExactlyInAnyOrder(1, 2, 4);
        assertThat(mEvents.shapes("e-3")).isEmpty();
    }

    // Guards against memory that grows with the requests that callers invent.
    @Test
    void memoryIsBounded() {
        mEvents.add("e-0", IntStream.range(0, 5_000).mapToObj(CrashEventsTest::feature).toList());
        assertThat(mEvents.shapes("e-0")).hasSize(512);
        for (int number = 1; number < 200; number++) {
            mEvents.add("e-" + number, List.of(feature(number)));
        }
        assertThat(mEvents.shapes("e-0")).isEmpty();
        assertThat(mEvents.shapes("e-199")).containsExactly(199);
    }
}
