package org.whinhead.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReadinessLoggerTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final ReadinessLogger mLogger = new ReadinessLogger();

    @BeforeEach
    void start() {
        mLogger.start(START);
    }

    @Test
    void eachConditionHasItsTime() {
        mLogger.tick(EnumSet.allOf(ReadinessCondition.class), START);
        mLogger.tick(EnumSet.of(ReadinessCondition.CONFIGURATION), START.plusMillis(300));
        assertThat(mLogger.isReadyLogged()).isFalse();
        assertThat(mLogger.metAfter(ReadinessCondition.CONFIGURATION)).isEmpty();

        mLogger.tick(Set.of(), START.plusMillis(700));
        assertThat(mLogger.isReadyLogged()).isTrue();
        assertThat(mLogger.metAfter(ReadinessCondition.ENDPOINTS)).contains(Duration.ofMillis(300));
        assertThat(mLogger.metAfter(ReadinessCondition.CONFIGURATION))
                .contains(Duration.ofMillis(700));
    }

    @Test
    void lossOfConditionIsLogged() {
        mLogger.tick(Set.of(), START);
        mLogger.tick(EnumSet.of(ReadinessCondition.CALLER_PORT), START.plusSeconds(1));
        assertThat(mLogger.isReadyLogged()).isFalse();
        mLogger.tick(Set.of(), START.plusSeconds(2));
        assertThat(mLogger.metAfter(ReadinessCondition.CALLER_PORT))
                .contains(Duration.ofSeconds(2));
    }
}
