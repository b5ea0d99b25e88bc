package org.whinhead.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.quota.ClockReading;

class ServedVersionsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration SPAN = Duration.ofSeconds(5);
    private static final int STEP_MILLIS = 200;

    private final ServedVersions mVersions = new ServedVersions();
    private Instant mNow = START;
    private Duration mSuspended = Duration.ZERO;

    private ClockReading clocks() {
        return new ClockReading(mNow, mNow.plus(mSuspended));
    }

    private void list(final int seconds, final boolean confirmed, final String... versions) {
        final List<EndpointEntry> endpoints = new ArrayList<>();
        for (final String version : versions) {
            endpoints.add(
                    EndpointEntry.builder(
                                    "e-" + version,
                                    "pool",
                                    new InetSocketAddress("127.0.0.1", 9000),
                                    "domain-a")
                            .version(version)
                            .build());
        }
        for (int step = 0; step < seconds * 1_000 / STEP_MILLIS; step++) {
            mNow = mNow.plusMillis(STEP_MILLIS);
            mVersions.observe(endpoints, mNow);
            if (confirmed) {
                mVersions.recordConfirmed(clocks());
            }
        }
    }

    @Test
    void singleVersionIsKnownAfterTheSpan() {
        list(4, true, "v1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
        list(2, true, "v1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).contains("v1");
        assertThat(mVersions.onlyVersion("api", SPAN, clocks())).isEmpty();
    }

    // Guards against joining a stream of a version whose endpoints are gone since it broke off.
    @Test
    void versionThatIsGoneCountsForTheSpan() {
        list(9, true, "v1");
        list(4, true, "v1.1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
        list(2, true, "v1.1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).contains("v1.1");
    }

    @Test
    void severalVersionsAreNotOne() {
        list(9, true, "v1", "v1.1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
    }

    // Guards against a daemon that is cut off and holds an old list for the current one.
    @Test
    void unconfirmedListTellsNothing() {
        list(9, true, "v1");
        list(2, false, "v1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
        list(4, true, "v1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
        list(2, true, "v1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).contains("v1");
    }

    // Guards against a VM that was suspended while endpoints of another version came and went: by
    // its steady clock the list was confirmed all the while.
    @Test
    void listOfSuspendedVmIsNotConfirmed() {
        list(9, true, "v1");
        mSuspended = Duration.ofSeconds(3);
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
        list(4, true, "v1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
        list(2, true, "v1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).contains("v1");
    }

    // Guards against a confirmed list that is older than one that other daemons have used.
    @Test
    void versionsBeforeGapAreNotKnown() {
        list(9, true, "v1");
        mVersions.recordGap();
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
        list(4, true, "v1");
        assertThat(mVersions.onlyVersion("pool", SPAN, clocks())).isEmpty();
    }

    // Guards against streams of an endpoint that has started anew under its id with another
    // version, or whose entry another writer has removed: the former version counts for the span.
    @Test
    void replacedAndRemovedEntriesCountForTheSpan() {
        list(9, true, "v1");
        list(4, true);
        list(4, true, "v1.1");
        assertThat(mVersions.onlyVersion("pool", Duration.ofSeconds(9), clocks())).isEmpty();
    }
}
