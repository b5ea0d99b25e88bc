package org.whinhead.serving.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;

class StatedLimitsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Optional<RequestRateLimit> ONE = Optional.of(new RequestRateLimit(1));
    private static final Optional<RequestRateLimit> FIVE = Optional.of(new RequestRateLimit(5));
    private static final EndpointEntry ENDPOINT = entry("e-1", Optional.empty());

    private final StatedLimits mLimits = new StatedLimits();

    private static EndpointEntry entry(final String id, final Optional<Instant> startedAt) {
        final EndpointEntry entry =
                EndpointEntry.builder(
                                id,
                                "api",
                                InetSocketAddress.createUnresolved("endpoint", 1),
                                "domain-a")
                        .build();
        return new EndpointEntry(
                entry.id(),
                entry.service(),
                entry.version(),
                entry.address(),
                entry.domain(),
                entry.slots(),
                entry.leaving(),
                entry.reclaimable(),
                entry.leavesIn(),
                entry.coldFor(),
                startedAt);
    }

    private static Instant at(final long millis) {
        return START.plusMillis(millis);
    }

    private Optional<LimitStatement> answer(
            final Optional<RequestRateLimit> limit, final long sentAt, final long now) {
        return mLimits.recordAnswer(ENDPOINT, limit, at(sentAt), at(now));
    }

    private static LimitStatement statement(
            final long revision, final Optional<RequestRateLimit> limit) {
        return new LimitStatement("e-1", Optional.empty(), revision, limit);
    }

    @Test
    void firstStatementIsToldWhateverItsRequest() {
        assertThat(answer(Optional.empty(), 0, 10)).isEmpty();
        assertThat(answer(ONE, 0, 20)).contains(statement(1, ONE));
        assertThat(mLimits.limit("e-1")).isEqualTo(ONE);
        assertThat(mLimits.limitedCount()).isOne();
    }

    @Test
    void repeatedStatementIsNotToldAgain() {
        answer(ONE, 0, 20);
        assertThat(answer(ONE, 30, 40)).isEmpty();
    }

    // Guards against a limit that ends with the head of a stream that was sent before it was named,
    // or that returns with one that arrives after its end.
    @Test
    void answerToRequestSentBeforeStatementSaysNothing() {
        answer(ONE, 0, 20);
        assertThat(answer(Optional.empty(), 10, 30)).isEmpty();
        assertThat(mLimits.limit("e-1")).isEqualTo(ONE);
        assertThat(answer(Optional.empty(), 40, 50)).contains(statement(2, Optional.empty()));
        assertThat(answer(ONE, 45, 60)).isEmpty();
        assertThat(mLimits.limit("e-1")).isEmpty();
    }

    @Test
    void anotherNumberReplacesLimitAlsoLargerOne() {
        answer(ONE, 0, 20);
        assertThat(answer(FIVE, 30, 40)).contains(statement(2, FIVE));
        assertThat(mLimits.limit("e-1")).isEqualTo(FIVE);
    }

    @Test
    void newerStatementOfOtherDaemonApplies() {
        answer(ONE, 0, 20);
        assertThat(mLimits.apply(ENDPOINT, statement(2, Optional.empty()), at(30))).isTrue();
        assertThat(mLimits.limit("e-1")).isEmpty();
        assertThat(mLimits.apply(ENDPOINT, statement(1, ONE), at(40))).isFalse();
        assertThat(mLimits.limit("e-1")).isEmpty();
    }

    // Guards against daemons that keep different limits after each found a change by itself.
    @Test
    void stricterOfTwoChangesFoundAtOnceCounts() {
        mLimits.apply(ENDPOINT, statement(2, FIVE), at(0));
        assertThat(mLimits.apply(ENDPOINT, statement(2, ONE), at(10))).isTrue();
        assertThat(mLimits.apply(ENDPOINT, statement(2, FIVE), at(20))).isFalse();
        assertThat(mLimits.apply(ENDPOINT, statement(2, Optional.empty()), at(30))).isFalse();
        assertThat(mLimits.limit("e-1")).isEqualTo(ONE);
    }

    @Test
    void limitEndsWithRestart() {
        answer(ONE, 0, 20);
        mLimits.forget("e-1");
        assertThat(mLimits.limit("e-1")).isEmpty();
    }

    // Guards against a limit that returns with another daemon's report of an earlier start.
    @Test
    void statementOfEarlierStartIsIgnored() {
        final EndpointEntry restarted = entry("e-1", Optional.of(at(0)));
        assertThat(mLimits.apply(restarted, statement(5, ONE), at(10))).isFalse();
        assertThat(mLimits.limit("e-1")).isEmpty();
    }

    @Test
    void endpointsThatAreGoneAreForgotten() {
        answer(ONE, 0, 20);
        mLimits.retain(List.of("e-2"));
        assertThat(mLimits.statement("e-1")).isEmpty();
    }

    @Test
    void reportsTellAllLimitsInTurn() {
        for (int number = 0; number < 5; number++) {
            mLimits.recordAnswer(entry("e-" + number, Optional.empty()), ONE, at(0), at(10));
        }
        final List<LimitStatement> first = mLimits.nextReported(3, at(20));
        final List<LimitStatement> second = mLimits.nextReported(3, at(30));
        assertThat(first).hasSize(3);
        assertThat(second).hasSize(3);
        assertThat(first.stream().map(LimitStatement::endpoint))
                .doesNotContainAnyElementsOf(
                        second.stream().limit(2).map(LimitStatement::endpoint).toList());
    }

    // Guards against an endpoint that gets all daemons' requests at once when its limit ends.
    @Test
    void shareOfRequestsGrowsAfterEndOfLimit() {
        assertThat(mLimits.returnedShare("e-1", at(0))).isOne();
        answer(ONE, 0, 20);
        assertThat(mLimits.returnedShare("e-1", at(20))).isOne();
        answer(Optional.empty(), 30, 40);
        assertThat(mLimits.returnedShare("e-1", at(40))).isZero();
        assertThat(mLimits.returnedShare("e-1", at(1_040))).isEqualTo(0.5);
        assertThat(mLimits.returnedShare("e-1", at(9_040))).isOne();
    }

    @Test
    void endOfLimitIsToldForHalfMinute() {
        answer(ONE, 0, 20);
        answer(Optional.empty(), 30, 40);
        assertThat(mLimits.nextReported(3, at(30_039)))
                .containsExactly(statement(2, Optional.empty()));
        assertThat(mLimits.nextReported(3, at(30_040))).isEmpty();
    }
}
