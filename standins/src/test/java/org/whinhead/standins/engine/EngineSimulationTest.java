package org.whinhead.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.whinhead.api.request.PrefixHashes;
import org.whinhead.standins.engine.EngineOrders.Kind;
import org.whinhead.standins.engine.EngineOrders.Order;
import org.whinhead.standins.engine.EngineStream.State;
import org.whinhead.standins.witness.WorkCounter;

final class EngineSimulationTest {

    private static final Instant NOW = Instant.parse("2026-03-02T08:00:00Z");
    private static final String LONG_PROMPT = words(64);

    private final WorkCounter mWorkCounter = new WorkCounter();
    private final EngineSimulation mEngine = engine(2, 1);
    private Instant mTime = NOW;

    @Test
    void stepsGrowWithTheBatch() {
        final EngineStream alone = submit("a", "p", 2, 0);
        advance(11);
        assertThat(alone.generated()).isZero();
        advance(24);
        assertThat(alone.generated()).isEqualTo(1);
        final EngineStream second = submit("b", "p", 9, 0);
        advance(36);
        assertThat(alone.state()).isEqualTo(State.FINISHED);
        assertThat(second.generated()).isZero();
    }

    @Test
    void higherPriorityGetsTheNextSlotAndFullQueueRefuses() {
        final EngineSimulation engine = engine(1, 2);
        submit(engine, "a", 1, 0);
        final EngineStream low = submit(engine, "b", 1, 1);
        final EngineStream high = submit(engine, "c", 1, 5);
        assertThat(engine.submit(generation("d", "p", 1, 9), NOW)).isEmpty();
        engine.advance(at(25));
        assertThat(high.state()).isEqualTo(State.RUNNING);
        assertThat(low.state()).isEqualTo(State.WAITING);
        assertThat(mWorkCounter.attempts("d")).isZero();
    }

    /**
     * A request's engine is killed after a few tokens, and a second attempt starts over: the
     * counter must report the prompt and answer tokens that are computed again.
     */
    @Test
    void countsRecomputedTokensOfSecondAttempt() {
        submit("a", LONG_PROMPT, 10, 0);
        advance(500);
        assertThat(mWorkCounter.recomputedTokens("a")).isZero();
        mEngine.kill();
        submit("a", LONG_PROMPT, 10, 0);
        advance(1000);
        assertThat(mWorkCounter.recomputedTokens("a")).isEqualTo(64 + 10);
    }

    @Test
    void cachedPrefixIsNotComputedAgain() {
        submit("a", LONG_PROMPT, 1, 0);
        advance(500);
        final EngineStream again = submit("b", LONG_PROMPT + " other words", 1, 0);
        assertThat(again.cachedTokens()).isEqualTo(64);
        advance(1000);
        assertThat(mWorkCounter.promptTokensComputed()).isEqualTo(64 + 2);
    }

    /** A caller and its daemon disconnect; the engine must not continue to generate forever. */
    @Test
    void streamWithoutReaderIsDroppedAfterGracePeriod() {
        final EngineStream stream = submit("a", "p", 100_000, 0);
        advance(1000);
        assertThat(mEngine.find(stream.id())).isPresent();
        advance(1001);
        assertThat(mEngine.find(stream.id())).isEmpty();
        assertThat(stream.state()).isEqualTo(State.STOPPED);
    }

    @Test
    void reportsLagAndCacheEventsHaveGaps() {
        submit("a", LONG_PROMPT, 100, 0).attach();
        advance(200);
        assertThat(mEngine.load(at(499)).running()).isZero();
        advance(700);
        assertThat(mEngine.load(at(700)).running()).isEqualTo(1);
        assertThat(mEngine.cacheEvents(0, 10, at(1399))).isEmpty();
        assertThat(mEngine.cacheEvents(0, 10, at(1400)))
                .extracting(EngineSimulation.CacheEvent::sequence)
                .containsExactly(1L, 2L, 4L);
    }

    /**
     * A lease holder is paused, a newer holder sends orders, then the old holder resumes and sends
     * a stale order. An engine that checks fencing refuses it; other engines apply it.
     */
    @Test
    void oldFencingNumberIsRefusedOnlyWithFencingCheck() {
        final EngineOrders checks = new EngineOrders(Set.of("m@1"), true);
        final EngineOrders ignores = new EngineOrders(Set.of("m@1"), false);
        for (final EngineOrders orders : List.of(checks, ignores)) {
            assertThat(orders.apply(new Order("new", 9, Kind.ROLE, "", "prefill"))).isEmpty();
            assertThat(orders.apply(new Order("new", 9, Kind.ROLE, "", "other"))).isEmpty();
            assertThat(orders.role()).contains("prefill");
        }
        assertThat(checks.apply(new Order("old", 8, Kind.UNLOAD, "m@1", ""))).hasValue(9);
        assertThat(checks.models()).containsExactly("m@1");
        assertThat(ignores.apply(new Order("old", 8, Kind.UNLOAD, "m@1", ""))).isEmpty();
        assertThat(ignores.models()).isEmpty();
        assertThat(ignores.staleOrders()).isEqualTo(1);
    }

    @Property(seed = "20261202", tries = 100)
    void cacheHoldsItsLimitAndOnlyWholePrefixes(
            @ForAll @Size(max = 40) final List<@IntRange(min = 0, max = 6) Integer> lengths) {
        final PrefixCache cache = new PrefixCache(5, (stored, hash) -> {});
        for (final int length : lengths) {
            final List<Long> hashes = PrefixHashes.of("m@1", words(length * 16));
            cache.lookUp(hashes);
            cache.store(hashes);
            assertThat(cache.size()).isLessThanOrEqualTo(5);
            assertThat(cache.lookUp(hashes)).isEqualTo(Math.min(length, 5) * 16);
        }
    }

    private EngineStream submit(
            final String request, final String prompt, final int tokens, final int priority) {
        return mEngine.submit(generation(request, prompt, tokens, priority), mTime).orElseThrow();
    }

    private void advance(final long millis) {
        mTime = at(millis);
        mEngine.advance(mTime);
    }

    private static EngineStream submit(
            final EngineSimulation engine,
            final String request,
            final int tokens,
            final int priority) {
        return engine.submit(generation(request, "p", tokens, priority), NOW).orElseThrow();
    }

    private EngineSimulation engine(final int slots, final int waiting) {
        final EngineSpeed speed =
                new EngineSpeed(Duration.ofMillis(10), Duration.ofMillis(1), 1000, 1000);
        return new EngineSimulation(
                EngineConfig.builder("one")
                        .slots(slots, waiting)
                        .speed(speed)
                        .loadLag(Duration.ofMillis(300))
                        .cacheEvents(Duration.ofMillis(1200), 3)
                        .readerGrace(Duration.ofSeconds(1))
                        .build(),
                mWorkCounter);
    }

    private static Generation generation(
            final String request, final String prompt, final int tokens, final int priority) {
        return new Generation(request, "m@1", prompt, "", 0, tokens, priority);
    }

    private static String words(final int count) {
        return IntStream.range(0, count)
                .mapToObj(index -> "w" + index)
                .collect(Collectors.joining(" "));
    }

    private static Instant at(final long millis) {
        return NOW.plusMillis(millis);
    }
}
