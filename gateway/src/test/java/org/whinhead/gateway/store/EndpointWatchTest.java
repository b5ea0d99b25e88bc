package org.whinhead.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.endpoint.EndpointConnections;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.endpoint.EndpointChange;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.limit.CustomerQuotas;
import org.whinhead.serving.limit.QuotaTolerance;
import org.whinhead.serving.limit.RetryBudget;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

class EndpointWatchTest {

    private static final Duration WINDOW = Duration.ofSeconds(5);

    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final List<String> mLeaving = new ArrayList<>();
    private final ServingState mState =
            ServingState.builder()
                    .clocks(() -> mNow, () -> mNow)
                    .chooser(new EndpointChooser("domain-a", new Random(1)))
                    .limits(
                            new CustomerQuotas(new QuotaTolerance(WINDOW, 0.1, 1_000)),
                            new RetryBudget(0.2, 10, WINDOW))
                    .usage(new UsageLedger("self"), new UsageWindows(WINDOW))
                    .build();
    private final EndpointWatch mWatch =
            new EndpointWatch(
                    mState,
                    new EndpointConnections(null, () -> mNow, null),
                    EndpointWatchTest::decode);

    private static EndpointEntry decode(final String id, final byte[] value) {
        return new EndpointEntry(
                id,
                "pool",
                new InetSocketAddress("127.0.0.1", 9000),
                "domain-a",
                96,
                new String(value, StandardCharsets.UTF_8).equals("leaving"),
                false,
                Optional.empty(),
                Duration.ZERO);
    }

    private static StoreRecord record(final String value, final long offset) {
        return new StoreRecord("e1", Optional.of(value.getBytes(StandardCharsets.UTF_8)), offset);
    }

    // A request reaches a server three seconds after its entry was removed. The daemon had kept it
    // as
    // lapsed around an outage; then others read the store for it, and nothing looked at it again.
    @Test
    void lapsedEntryIsDroppedWithoutReadsOfItsOwn() {
        mWatch.snapshot(List.of(record("ready", 0)), 1);
        mWatch.unreachable(new IllegalStateException("down"));
        mNow = mNow.plusMillis(800);
        mWatch.appended(List.of(new StoreRecord("e1", Optional.empty(), 1)));
        assertThat(mState.endpoints().usable("pool")).hasSize(1);
        mNow = mNow.plusMillis(1_800);
        mWatch.dropLapsed();
        assertThat(mState.endpoints().usable("pool")).isEmpty();
    }

    @Test
    void leavingEndpointIsReportedOnce() {
        mWatch.onLeaving(entry -> mLeaving.add(entry.id()));
        mWatch.snapshot(List.of(record("ready", 0)), 1);
        mWatch.appended(List.of(record("leaving", 1)));
        mWatch.appended(List.of(record("leaving", 2)));
        assertThat(mLeaving).containsExactly("e1");
    }

    @Test
    void changesThatOneDaemonReadAreInForceAtAnother() {
        mWatch.snapshot(List.of(record("ready", 0)), 1);
        mWatch.appended(List.of(record("ready", 1), record("leaving", 2)));
        final List<EndpointChange> changes = mWatch.takeChanges();
        assertThat(changes).extracting(EndpointChange::offset).containsExactly(2L);
        assertThat(mWatch.takeChanges()).isEmpty();

        final EndpointWatchTest other = new EndpointWatchTest();
        other.mWatch.snapshot(List.of(record("ready", 0)), 1);
        other.mWatch.onLeaving(entry -> other.mLeaving.add(entry.id()));
        other.mWatch.passedOn(changes);
        other.mWatch.passedOn(changes);
        assertThat(other.mLeaving).containsExactly("e1");
        assertThat(other.mState.endpoints().summary()).isEqualTo(mState.endpoints().summary());
    }

    // A server is back under its old entry although it was removed: a daemon learned of the removal
    // from another one, and then read the older records itself.
    @Test
    void recordsOlderThanWhatWasPassedOnChangeNothing() {
        mWatch.snapshot(List.of(record("ready", 0)), 1);
        mWatch.passedOn(List.of(new EndpointChange("e1", 5, Optional.empty())));
        mWatch.appended(List.of(record("ready", 3)));
        assertThat(mState.endpoints().usable("pool")).isEmpty();
    }
}
