package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ReleasePaceTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private final ReleasePace mPace = new ReleasePace();

    private int released(final double room, final double share, final Duration age) {
        int released = 0;
        for (int check = 1; check <= 50; check++) {
            mPace.advance(room, share, age, NOW.plusMillis(20L * check));
            while (mPace.take()) {
                released++;
            }
        }
        return released;
    }

    // Guards against a flood: all daemons see the same ten places, and fill them until they hear of
    // each other.
    @Test
    void daemonTakesItsShareOfThePlacesWithinTheAgeOfTheReports() {
        mPace.start(0, NOW);
        assertThat(released(10, 0.2, Duration.ofSeconds(1))).isBetween(1, 2);
    }

    @Test
    void onlyDaemonTakesAllPlacesAtOnce() {
        mPace.start(0, NOW);
        mPace.advance(10, 1, Duration.ZERO, NOW.plusMillis(20));
        for (int request = 0; request < 10; request++) {
            assertThat(mPace.take()).isTrue();
        }
        assertThat(mPace.take()).isFalse();
    }

    @Test
    void nothingIsReleasedWithoutPlaces() {
        mPace.start(0.9, NOW);
        assertThat(released(-5, 1, Duration.ZERO)).isZero();
    }

    @Test
    void placeOfAnOwnRequestIsUsedAtOnce() {
        mPace.start(0, NOW);
        mPace.placeFreed();
        assertThat(mPace.take()).isTrue();
        assertThat(mPace.take()).isFalse();
    }
}
