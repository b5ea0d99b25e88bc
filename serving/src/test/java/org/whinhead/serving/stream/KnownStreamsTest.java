package org.whinhead.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class KnownStreamsTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration KEPT = Duration.ofSeconds(10);
    private static final StreamOrigin ORIGIN = new StreamOrigin("pool", "v1");
    private static final StreamOrigin OTHER = new StreamOrigin("pool", "v1.1");

    private final KnownStreams mStreams = new KnownStreams();

    private static StreamKey key(final int customer, final long number) {
        return new StreamKey(customer, number, -number);
    }

    private void add(final StreamKey key, final StreamOrigin origin, final Instant now) {
        mStreams.add(new StreamRecord(key, origin, KEPT), now);
    }

    @Test
    void streamIsKnownForItsTime() {
        add(key(1, 1), ORIGIN, NOW);
        assertThat(mStreams.lookup(key(1, 1), NOW.plusSeconds(9)))
                .isEqualTo(StreamLookup.found(ORIGIN));
        assertThat(mStreams.keptFor(key(1, 1), NOW.plusSeconds(9)))
                .isEqualTo(Duration.ofSeconds(1));
        assertThat(mStreams.lookup(key(1, 1), NOW.plusSeconds(10))).isEqualTo(StreamLookup.UNKNOWN);
        assertThat(mStreams.lookup(key(2, 1), NOW)).isEqualTo(StreamLookup.UNKNOWN);
    }

    @Test
    void streamsAreForgottenAfterTheirTime() {
        add(key(1, 1), ORIGIN, NOW);
        add(key(2, 2), ORIGIN, NOW.plusSeconds(5));
        mStreams.expire(NOW.plusSeconds(11));
        assertThat(mStreams.size()).isEqualTo(1);
    }

    @Test
    void timeIsLimited() {
        mStreams.add(new StreamRecord(key(1, 1), ORIGIN, Duration.ofDays(1)), NOW);
        assertThat(mStreams.keptFor(key(1, 1), NOW)).isEqualTo(KnownStreams.MAX_KEPT);
    }

    @Test
    void repeatedMessageChangesNothing() {
        add(key(1, 1), ORIGIN, NOW);
        add(key(1, 1), ORIGIN, NOW.plusSeconds(1));
        assertThat(mStreams.lookup(key(1, 1), NOW.plusSeconds(1)))
                .isEqualTo(StreamLookup.found(ORIGIN));
        assertThat(mStreams.size()).isEqualTo(1);
    }

    // Guards against a stream that goes on at the version of another one: the caller has used one
    // id for both.
    @Test
    void idOfTwoStreamsIsAmbiguous() {
        add(key(1, 1), ORIGIN, NOW);
        add(key(1, 1), OTHER, NOW);
        assertThat(mStreams.lookup(key(1, 1), NOW)).isEqualTo(StreamLookup.AMBIGUOUS);
        add(key(1, 1), ORIGIN, NOW);
        assertThat(mStreams.lookup(key(1, 1), NOW)).isEqualTo(StreamLookup.AMBIGUOUS);
    }

    // Guards against a customer that begins so many streams that those of others are forgotten.
    @Test
    void customerDisplacesItsOwnStreamsFirst() {
        add(key(2, 1), ORIGIN, NOW);
        for (int number = 0; number < KnownStreams.MAX_STREAMS + 100; number++) {
            add(key(1, number), ORIGIN, NOW);
        }
        assertThat(mStreams.size()).isEqualTo(KnownStreams.MAX_STREAMS);
        assertThat(mStreams.lookup(key(2, 1), NOW)).isEqualTo(StreamLookup.found(ORIGIN));
        assertThat(mStreams.lookup(key(1, 0), NOW)).isEqualTo(StreamLookup.UNKNOWN);
    }
}
