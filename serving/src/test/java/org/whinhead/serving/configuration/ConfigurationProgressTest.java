package org.whinhead.serving.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ConfigurationProgressTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final ConfigurationProgress mProgress = new ConfigurationProgress();

    @Test
    void nothingIsKnownAtFirst() {
        assertThat(mProgress.version()).isEqualTo(ConfigurationProgress.NO_VERSION);
        assertThat(mProgress.isBehind()).isFalse();
        assertThat(mProgress.inForceFor(START)).isEmpty();
        assertThat(mProgress.sinceRead(START)).isEmpty();
    }

    @Test
    void newerVersionOfAnotherDaemonMeansBehind() {
        mProgress.recordInForce(7, START);
        mProgress.recordAnnounced(7, START);
        assertThat(mProgress.isBehind()).isFalse();

        mProgress.recordAnnounced(9, START.plusSeconds(1));
        mProgress.recordAnnounced(8, START.plusSeconds(2));

        assertThat(mProgress.isBehind()).isTrue();
        assertThat(mProgress.newestVersion()).isEqualTo(9);
        assertThat(mProgress.behindFor(START.plusSeconds(4))).isEqualTo(Duration.ofSeconds(3));
    }

    @Test
    void versionBelowTheNewestOneDoesNotCatchUp() {
        mProgress.recordInForce(7, START);
        mProgress.recordAnnounced(9, START);
        mProgress.recordInForce(8, START.plusSeconds(1));
        assertThat(mProgress.behindFor(START.plusSeconds(2))).isEqualTo(Duration.ofSeconds(2));

        mProgress.recordInForce(9, START.plusSeconds(3));

        assertThat(mProgress.isBehind()).isFalse();
        assertThat(mProgress.behindFor(START.plusSeconds(4))).isZero();
        assertThat(mProgress.inForceFor(START.plusSeconds(4))).contains(Duration.ofSeconds(1));
    }

    @Test
    void readThatFoundNothingCountsAsRead() {
        mProgress.recordRead(START);
        assertThat(mProgress.sinceRead(START.plusMillis(20))).contains(Duration.ofMillis(20));
    }

    @Test
    void successfulReadEndsFailure() {
        mProgress.recordReadFailure("status 503");
        assertThat(mProgress.readFailure()).contains("status 503");
        mProgress.recordRead(START);
        assertThat(mProgress.readFailure()).isEmpty();
    }

    @Test
    void unreadableVersionsAreCounted() {
        mProgress.recordUnreadable();
        mProgress.recordUnreadable();
        assertThat(mProgress.unreadableCount()).isEqualTo(2);
    }
}
