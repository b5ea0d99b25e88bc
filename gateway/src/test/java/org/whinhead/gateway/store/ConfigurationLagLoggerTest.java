package org.whinhead.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.configuration.ConfigurationProgress;

class ConfigurationLagLoggerTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final ConfigurationProgress mProgress = new ConfigurationProgress();
    private final ConfigurationLagLogger mLogger = new ConfigurationLagLogger(mProgress);

    @Test
    void shortLagIsNotLogged() {
        mProgress.recordAnnounced(7, START);
        mLogger.tick(START.plusMillis(400));
        assertThat(mLogger.isLagLogged()).isFalse();
    }

    @Test
    void lagIsLoggedUntilItEnds() {
        mProgress.recordInForce(5, START);
        mProgress.recordAnnounced(7, START);
        mLogger.tick(START.plusSeconds(1));
        assertThat(mLogger.isLagLogged()).isTrue();

        mProgress.recordInForce(7, START.plusSeconds(2));
        mLogger.tick(START.plusSeconds(2));
        assertThat(mLogger.isLagLogged()).isFalse();
    }

    @Test
    void daemonThatHasNeverReadCanBeBehind() {
        mProgress.recordAnnounced(7, START);
        mLogger.tick(START.plusSeconds(1));
        assertThat(mLogger.isLagLogged()).isTrue();
    }
}
