package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class TokenPoolTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final TokenPool mPool = new TokenPool();

    private static ClockReading at(final long millis) {
        return new ClockReading(START.plusMillis(millis), START.plusMillis(millis));
    }

    @Test
    void tokensOfSeveralBatchesAreAsOldAsOldestBatch() {
        mPool.add(100, at(100));
        mPool.add(100, at(50));
        assertThat(mPool.take(150, at(200))).contains(at(50));
        assertThat(mPool.take(50, at(200))).contains(at(50));
        assertThat(mPool.take(1, at(200))).isEmpty();
    }

    @Test
    void poolIsUnchangedIfItHasTooFewTokens() {
        mPool.add(100, at(0));
        assertThat(mPool.take(101, at(10))).isEmpty();
        assertThat(mPool.take(100, at(10))).isPresent();
    }

    @Test
    void expiredTokensAreDropped() {
        mPool.add(100, at(0));
        mPool.add(100, at(300));
        assertThat(mPool.take(200, at(600))).isEmpty();
        assertThat(mPool.take(100, at(600))).isPresent();
    }
}
