package org.whinhead.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.endpoint.EndpointConnections;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.serving.endpoint.EndpointChange;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;
import org.whinhead.serving.reach.EndpointReach;

class EndpointTopicListenerTest {

    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final List<String> mLeaving = new ArrayList<>();
    private final ServingState mState = TestServing.state(() -> mNow);
    private final EndpointTopicListener mListener =
            new EndpointTopicListener(
                    mState,
                    new EndpointConnections(() -> mNow, null, null, new EndpointReach()),
                    EndpointTopicListenerTest::decode);

    private static EndpointEntry decode(final String id, final byte[] value)
            throws UnreadableRecordException {
        if (value.length == 0) {
            throw new UnreadableRecordException("empty", new IllegalArgumentException());
        }
        final String text = new String(value, StandardCharsets.UTF_8);
        if (text.startsWith("v")) {
            return EndpointEntry.builder(
                            id, "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                    .version(text)
                    .build();
        }
        return TestServing.endpoint(id, text.equals("leaving"));
    }

    private static StoreRecord record(final String value, final long offset) {
        return new StoreRecord("e1", Optional.of(value.getBytes(StandardCharsets.UTF_8)), offset);
    }

    // Guards against requests to an endpoint three seconds after its entry was removed: the daemon
    // kept the entry around an outage, then other daemons read the store for it, and nothing
    // expired the entry.
    @Test
    void lapsedEntryIsRemovedWithoutOwnReads() {
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        mListener.onUnreachable(new IllegalStateException("down"));
        mNow = mNow.plusMillis(800);
        mListener.onAppended(List.of(new StoreRecord("e1", Optional.empty(), 1)));
        assertThat(mState.endpoints().usable("pool")).hasSize(1);
        mNow = mNow.plusMillis(1_800);
        mListener.removeLapsedEntries();
        assertThat(mState.endpoints().usable("pool")).isEmpty();
    }

    // Guards against the failure of all model requests until a restart: one unreadable record among
    // the endpoints' entries stopped the reading of all others.
    @Test
    void unreadableRecordDisablesOnlyItsOwnEndpoint() {
        mListener.onSnapshot(
                List.of(record("ready", 0), new StoreRecord("x", record("", 1).value(), 1)), 2);
        assertThat(mState.endpoints().usable("pool")).hasSize(1);
        mListener.onAppended(
                List.of(new StoreRecord("e2", record("ready", 2).value(), 2), record("", 3)));
        assertThat(mState.endpoints().usable("pool"))
                .extracting(EndpointEntry::id)
                .containsExactly("e2");
        mListener.onAppended(List.of(record("ready", 4)));
        assertThat(mState.endpoints().usable("pool")).hasSize(2);
    }

    // Guards against work at an endpoint that has told a daemon that it leaves while the store is
    // away or behind, and against ordering replacements more than once.
    @Test
    void departureToldInResponseCountsAsNotice() {
        final List<String> changes = new ArrayList<>();
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        mListener.onLeaving(entry -> mLeaving.add(entry.id()));
        mListener.onChange(() -> changes.add("changed"));
        final EndpointStart start = EndpointStart.of(TestServing.endpoint("e1", false));
        mListener.applyDepartures(List.of(start, start));
        mListener.applyDepartures(List.of(start));
        assertThat(mLeaving).containsExactly("e1");
        assertThat(changes).hasSize(1);
        assertThat(mState.endpoints().usable("pool")).isEmpty();
        mListener.onAppended(List.of(record("ready", 1)));
        assertThat(mState.endpoints().usable("pool")).isEmpty();
        assertThat(mState.departures().contains(start)).isTrue();
    }

    @Test
    void leavingEndpointIsReportedOnce() {
        mListener.onLeaving(entry -> mLeaving.add(entry.id()));
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        mListener.onAppended(List.of(record("leaving", 1)));
        mListener.onAppended(List.of(record("leaving", 2)));
        assertThat(mLeaving).containsExactly("e1");
    }

    @Test
    void changesReadByOneDaemonApplyAtAnother() {
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        mListener.onAppended(List.of(record("ready", 1), record("leaving", 2)));
        final List<EndpointChange> changes = mListener.drainChanges();
        assertThat(changes).extracting(EndpointChange::offset).containsExactly(2L);
        assertThat(mListener.drainChanges()).isEmpty();

        final EndpointTopicListenerTest other = new EndpointTopicListenerTest();
        other.mListener.onSnapshot(List.of(record("ready", 0)), 1);
        other.mListener.onLeaving(entry -> other.mLeaving.add(entry.id()));
        other.mListener.applyPeerChanges(changes);
        other.mListener.applyPeerChanges(changes);
        assertThat(other.mLeaving).containsExactly("e1");
        assertThat(other.mState.endpoints().digest()).isEqualTo(mState.endpoints().digest());
    }

    // Guards against the return of a removed endpoint: a daemon received the removal from another
    // one and then read the older records itself.
    @Test
    void recordsOlderThanPeerChangesAreIgnored() {
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        mListener.applyPeerChanges(List.of(new EndpointChange("e1", 5, Optional.empty())));
        mListener.onAppended(List.of(record("ready", 3)));
        assertThat(mState.endpoints().usable("pool")).isEmpty();
    }

    // Guards against requests to reclaimed endpoints and missing replacements: while the store
    // refused this daemon, it treated the removals sent by a reader as an effect of the outage.
    @Test
    void peerRemovalAppliesWhileStoreRefusesThisDaemon() {
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        mListener.onUnreachable(new IllegalStateException("refused"));
        mListener.applyPeerChanges(List.of(new EndpointChange("e1", 5, Optional.empty())));
        assertThat(mState.endpoints().usable("pool")).isEmpty();
    }

    // Guards against a service without endpoints for two seconds after an outage of the store: a
    // reader passed on that entries had lapsed in the outage, and the others removed them.
    @Test
    void removalReadAfterOutageIsNotPassedOn() {
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        mListener.onUnreachable(new IllegalStateException("down"));
        mListener.onAppended(List.of(new StoreRecord("e1", Optional.empty(), 1)));
        assertThat(mState.endpoints().usable("pool")).hasSize(1);
        assertThat(mListener.drainChanges()).isEmpty();
    }

    private Optional<String> onlyVersion() {
        return mState.versions().onlyVersion("pool", Duration.ofSeconds(5), mState.moment());
    }

    private void readForSeconds(final int seconds) {
        for (int step = 0; step < seconds; step++) {
            mNow = mNow.plusSeconds(1);
            mListener.onAppended(List.of());
        }
    }

    // Guards against joining a stream of a version whose endpoints came and went between two reads.
    @Test
    void versionThatHasLeftAgainBetweenReadsIsObserved() {
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        readForSeconds(6);
        assertThat(onlyVersion()).isPresent();
        mListener.onAppended(
                List.of(
                        new StoreRecord(
                                "e2", Optional.of("v2".getBytes(StandardCharsets.UTF_8)), 1),
                        new StoreRecord("e2", Optional.empty(), 2)));
        assertThat(onlyVersion()).isEmpty();
        readForSeconds(6);
        assertThat(onlyVersion()).isPresent();
    }

    // Guards against a list that is confirmed but older: the store has lost an entry that others
    // have used, and its endpoint has not written again yet.
    @Test
    void listOfOlderCopyTellsNoSingleVersion() {
        mListener.onSnapshot(List.of(record("ready", 0)), 1);
        readForSeconds(6);
        mListener.onOlderCopy(2);
        mListener.onSnapshot(List.of(record("ready", 1)), 2);
        assertThat(onlyVersion()).isEmpty();
    }
}
