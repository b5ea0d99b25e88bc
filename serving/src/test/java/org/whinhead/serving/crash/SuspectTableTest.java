package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class SuspectTableTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final RequestFeature FEATURE = new RequestFeature(1, 2, 3);
    private static final RequestFeature ALIKE = new RequestFeature(1, 4, 5);

    private final SuspectTable mTable = new SuspectTable();

    private Suspect put(final RequestFeature feature, final int level) {
        final Suspect suspect = new Suspect(START);
        suspect.raise(level, START);
        suspect.keepUntil(START.plusSeconds(60));
        mTable.putLast(feature, suspect);
        return suspect;
    }

    @Test
    void featureIsForgottenAfterItsTime() {
        put(FEATURE, 1);
        assertThat(mTable.find(FEATURE, START.plusSeconds(59))).isPresent();
        assertThat(mTable.find(FEATURE, START.plusSeconds(60))).isEmpty();
        assertThat(mTable.containsShape(1)).isFalse();
    }

    // Guards against a feature that is no longer found, as another one with its shape was removed.
    @Test
    void featuresOfOneShapeAreKeptApart() {
        put(FEATURE, 1);
        put(ALIKE, 1);
        mTable.remove(ALIKE);
        assertThat(mTable.containsShape(1)).isTrue();
        assertThat(mTable.find(FEATURE, START)).isPresent();
        assertThat(mTable.find(ALIKE, START)).isEmpty();
    }

    @Test
    void shapeIsBlockedUnlessItsFeatureIsSoundApart() {
        assertThat(mTable.isBlocked(1)).isFalse();
        final Suspect suspect = put(FEATURE, CrashSuspects.BLOCKED_LEVEL);
        assertThat(mTable.isBlocked(1)).isTrue();
        suspect.recordAnswerApart();
        assertThat(mTable.isBlocked(1)).isTrue();
        suspect.recordAnswerApart();
        assertThat(mTable.isBlocked(1)).isFalse();
    }
}
