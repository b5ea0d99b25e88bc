package org.whinhead.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;

class RequestedPausesTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration THREE_SECONDS = Duration.ofSeconds(3);
    private static final Duration LONGEST = Duration.ofMillis(3_500);
    private static final int SLOTS = 4;
    private static final EndpointEntry ENDPOINT =
            EndpointEntry.builder("e1", "pool", new InetSocketAddress("127.0.0.1", 9000), "a")
                    .slots(SLOTS)
                    .build();

    private final RequestedPauses mPauses = new RequestedPauses(new Random(7));

    private boolean mayReceive(final Instant at) {
        return mPauses.mayReceive("e1", at);
    }

    private void send(final Instant at) {
        assertThat(mayReceive(at)).isTrue();
        mPauses.recordSent("e1", at);
    }

    @Test
    void endpointGetsNothingWithinItsPause() {
        assertThat(mPauses.isEmpty()).isTrue();
        mPauses.add("e1", THREE_SECONDS, NOW);
        assertThat(mayReceive(NOW)).isFalse();
        assertThat(mayReceive(NOW.plusMillis(2_999))).isFalse();
        assertThat(mayReceive(NOW.plus(LONGEST))).isTrue();
        assertThat(mPauses.left("e1", NOW.plusSeconds(1)).orElseThrow())
                .isBetween(Duration.ofSeconds(2), Duration.ofMillis(2_500));
        assertThat(mPauses.left("e1", NOW.plus(LONGEST))).isEmpty();
        assertThat(mPauses.knownFor("e1", NOW.plusSeconds(1))).contains(Duration.ofSeconds(1));
        assertThat(mPauses.mayReceive("e2", NOW)).isTrue();
    }

    // Guards against a short pause that ends a longer one, whichever is asked for first.
    @Test
    void pauseThatEndsLastCounts() {
        mPauses.add("e1", THREE_SECONDS, NOW);
        mPauses.add("e1", Duration.ofSeconds(1), NOW.plusSeconds(1));
        assertThat(mayReceive(NOW.plusMillis(2_999))).isFalse();
        mPauses.add("e1", THREE_SECONDS, NOW.plusSeconds(2));
        assertThat(mayReceive(NOW.plusMillis(4_999))).isFalse();
    }

    // Guards against an answer that ends a pause, or counts as a sign of room, although its request
    // was sent before the pause.
    @Test
    void answerToEarlierRequestTellsNothing() {
        mPauses.add("e1", THREE_SECONDS, NOW);
        for (int answer = 0; answer < SLOTS; answer++) {
            mPauses.recordAnswered(ENDPOINT, NOW.minusMillis(10));
        }
        assertThat(mayReceive(NOW.plusMillis(10))).isFalse();
        send(NOW.plus(LONGEST));
        assertThat(mayReceive(NOW.plus(LONGEST))).isFalse();
    }

    // Guards against all requests that have waited reaching an endpoint at the end of its pause.
    @Test
    void firstOneRequestThenTwoForEachAnswer() {
        final Instant end = NOW.plus(LONGEST);
        mPauses.add("e1", THREE_SECONDS, NOW);
        send(end);
        assertThat(mayReceive(end)).isFalse();
        mPauses.recordAnswered(ENDPOINT, end);
        send(end);
        send(end);
        assertThat(mayReceive(end)).isFalse();
        mPauses.recordAnswered(ENDPOINT, end);
        mPauses.recordAnswered(ENDPOINT, end);
        mPauses.recordAnswered(ENDPOINT, end);
        assertThat(mPauses.isEmpty()).isTrue();
    }

    // Guards against sparing an endpoint for good whose first request after the pause was lost.
    @Test
    void requestWithoutAnswerIsFollowedByAnother() {
        final Instant end = NOW.plus(LONGEST);
        mPauses.add("e1", THREE_SECONDS, NOW);
        send(end);
        assertThat(mayReceive(end.plusMillis(999))).isFalse();
        send(end.plusMillis(1_000));
        assertThat(mayReceive(end.plusMillis(1_001))).isFalse();
    }

    @Test
    void rejectionAfterPauseBeginsNextOne() {
        final Instant end = NOW.plus(LONGEST);
        mPauses.add("e1", THREE_SECONDS, NOW);
        send(end);
        mPauses.add("e1", THREE_SECONDS, end);
        assertThat(mayReceive(end.plusMillis(2_999))).isFalse();
        send(end.plus(LONGEST));
    }

    // Guards against daemons that were turned away together and return together.
    @Test
    void pausesOfDaemonsEndAtDifferentTimes() {
        final Set<Duration> lefts = new HashSet<>();
        final Random seeds = new Random(7);
        for (int daemon = 0; daemon < 66; daemon++) {
            final RequestedPauses pauses = new RequestedPauses(new Random(seeds.nextLong()));
            pauses.add("e1", THREE_SECONDS, NOW);
            lefts.add(Duration.ofMillis(pauses.left("e1", NOW).orElseThrow().toMillis() / 50));
        }
        assertThat(lefts).hasSizeGreaterThanOrEqualTo(8);
    }

    @Test
    void endpointThatRestartsOrEndsIsForgotten() {
        mPauses.add("e1", THREE_SECONDS, NOW);
        mPauses.add("e2", THREE_SECONDS, NOW);
        assertThat(mPauses.count(NOW)).isEqualTo(2);
        mPauses.forget("e1");
        mPauses.retain(Set.of("e3"));
        assertThat(mPauses.isEmpty()).isTrue();
    }
}
