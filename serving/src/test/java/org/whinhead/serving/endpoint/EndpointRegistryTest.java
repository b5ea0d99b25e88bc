package org.whinhead.serving.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.store.StorePosition;

class EndpointRegistryTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final EndpointRegistry mRegistry = new EndpointRegistry();

    private static EndpointEntry entry(final String id, final boolean leaving) {
        return entry(id, leaving, Optional.empty());
    }

    private static EndpointEntry entry(
            final String id, final boolean leaving, final Optional<Instant> startedAt) {
        return EndpointEntry.builder(
                        id, "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .slots(96)
                .leaving(leaving, Optional.empty())
                .started(startedAt, Duration.ZERO)
                .build();
    }

    // Guards against using the state of a server from before a crash. It has restarted under the
    // same id: uncached prompts take ten times as long, and its runs have ended.
    @Test
    void laterStartUnderTheSameIdIsReportedAsRestart() {
        mRegistry.put(entry("e1", false, Optional.of(START)), 1);
        assertThat(mRegistry.put(entry("e1", false, Optional.of(START)), 2))
                .isEqualTo(EntryEffect.NONE);
        assertThat(mRegistry.put(entry("e1", false, Optional.of(START.plusSeconds(9))), 3))
                .isEqualTo(EntryEffect.RESTARTED);
    }

    // Guards against streams that go on at another version: an endpoint has restarted with another
    // software under the same id, states no start time, and the daemons that only hear of changes
    // never learn of it.
    @Test
    void otherVersionUnderTheSameIdIsReportedAsRestart() {
        mRegistry.put(entryOf("v1"), 1);
        final long digest = mRegistry.digest();
        assertThat(mRegistry.put(entryOf("v1.1"), 2)).isEqualTo(EntryEffect.RESTARTED);
        assertThat(mRegistry.digest()).isNotEqualTo(digest);
        assertThat(mRegistry.put(entryOf("v1.1"), 3)).isEqualTo(EntryEffect.NONE);
        assertThat(mRegistry.usable("pool").get(0).version()).isEqualTo("v1.1");
    }

    private static EndpointEntry entryOf(final String version) {
        return EndpointEntry.builder(
                        "e1", "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .version(version)
                .build();
    }

    // Guards against a server that never gets work again because it announced to leave, crashed and
    // restarted under the same id.
    @Test
    void laterStartIsNotLeaving() {
        mRegistry.put(entry("e1", true, Optional.of(START)), 1);
        mRegistry.put(entry("e1", false, Optional.of(START.plusSeconds(9))), 2);
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    // Guards against treating a restarted server as leaving and dropping its state twice: the last
    // write of its earlier start was carried out after the first one of this start.
    @Test
    void lateWriteOfAnEarlierStartIsIgnored() {
        mRegistry.put(entry("e1", false, Optional.of(START.plusSeconds(9))), 1);
        assertThat(mRegistry.put(entry("e1", true, Optional.of(START)), 2))
                .isEqualTo(EntryEffect.NONE);
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    // Guards against new work for an endpoint that is gone: an older copy of the store still lists
    // it, without its notice and its removal.
    @Test
    void endpointRemovedBeforeOlderCopyGetsNoWork() {
        mRegistry.put(entry("e1", false), 5);
        mRegistry.remove("e1", 9, START);
        mRegistry.recordOlderCopy(StorePosition.of(1, 8), START.plusSeconds(9));
        mRegistry.put(entry("e1", false), StorePosition.of(1, 5));
        assertThat(mRegistry.usable("pool")).isEmpty();

        // It is alive after all, and writes again.
        mRegistry.put(entry("e1", false), StorePosition.of(1, 8));
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    // Guards against requests without an endpoint: entries that an older copy of the store lacks
    // are
    // written again soon.
    @Test
    void entryMissingInAnOlderCopyStaysInUseForItsGrace() {
        mRegistry.put(entry("e1", false), 9);
        final Instant returned = START.plusSeconds(9);
        mRegistry.recordOlderCopy(StorePosition.of(1, 4), returned);
        mRegistry.retain(Set.of(), StorePosition.of(1, 4), returned);
        assertThat(mRegistry.usable("pool")).hasSize(1);
        mRegistry.expire(returned.plus(EndpointRegistry.LAPSE_GRACE).plusMillis(1));
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // Guards against a notice to leave that is taken for an old record: the store returned from an
    // older copy, and gave it a lower offset than the entry before.
    @Test
    void noticeUnderLowerOffsetOfLaterEraCounts() {
        mRegistry.put(entry("e1", false), 90);
        assertThat(mRegistry.put(entry("e1", true), StorePosition.of(1, 7)))
                .isEqualTo(EntryEffect.CHANGED);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    @Test
    void unreadableRecordStopsNewWorkUntilTheEndpointWritesAgain() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e2", false), 2);
        assertThat(mRegistry.markUnreadable("e1", 3)).isTrue();
        assertThat(mRegistry.markUnreadable("e1", 4)).isFalse();
        assertThat(mRegistry.markUnreadable("other", 5)).isFalse();
        assertThat(mRegistry.usable("pool")).extracting(EndpointEntry::id).containsExactly("e2");
        assertThat(mRegistry.put(entry("e1", false), 6)).isEqualTo(EntryEffect.CHANGED);
        assertThat(mRegistry.usable("pool")).hasSize(2);
    }

    @Test
    void olderUnreadableRecordIsIgnored() {
        mRegistry.put(entry("e1", false), 5);
        assertThat(mRegistry.markUnreadable("e1", 3)).isFalse();
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    // Guards against an answer that is cut by the end of its endpoint counting as complete, as the
    // endpoint is no longer listed.
    @Test
    void endpointThatIsNotListedIsNotLeaving() {
        mRegistry.put(entry("e1", true), 1);
        assertThat(mRegistry.isLeaving("e1")).isTrue();
        mRegistry.remove("e1", 2, START);
        assertThat(mRegistry.isLeaving("e1")).isFalse();
        assertThat(mRegistry.isLeaving("e2")).isFalse();
    }

    @Test
    void leavingEndpointGetsNoNewWork() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e1", true), 2);
        assertThat(mRegistry.usable("pool")).isEmpty();
        assertThat(mRegistry.find("e1")).isPresent();
    }

    // Guards against sending requests to a leaving server. Its announcement was read, then a
    // delayed listing contained the earlier entry, and the server counted as ready again.
    @Test
    void lateListingDoesNotReactivateLeavingEndpoint() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e1", true), 5);
        mRegistry.put(entry("e1", false), 1);
        assertThat(mRegistry.usable("pool")).isEmpty();
        mRegistry.put(entry("e1", false), 6);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    @Test
    void removalWithoutOutageTakesEffectAtOnce() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.remove("e1", 2, START);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // Guards against failing all requests for two seconds after an outage of the store. Heartbeats
    // could not be written, so all entries lapsed, and living endpoints were removed.
    @Test
    void entryThatLapsedAroundAnOutageStaysInUseForTheGracePeriod() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.recordOutage(START);
        mRegistry.retain(Set.of(), 3, START.plusMillis(400));
        assertThat(mRegistry.usable("pool")).hasSize(1);
        assertThat(mRegistry.expire(START.plusMillis(2_000))).isEmpty();
        assertThat(mRegistry.expire(START.plusMillis(3_000))).containsExactly("e1");
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // Guards against sending a request to a server 2.2 s after its entry was removed. Just before,
    // the store had rejected this daemon for some seconds, and the removal was treated as a lapse.
    @Test
    void removalSoonAfterAnOutageTakesEffectInTime() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.recordOutage(START);
        mRegistry.remove("e1", 2, START.plusMillis(1_200));
        assertThat(mRegistry.usable("pool")).hasSize(1);
        assertThat(mRegistry.expire(START.plusMillis(2_600))).containsExactly("e1");
    }

    @Test
    void lapsedEntryThatIsListedAgainStays() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.recordOutage(START);
        mRegistry.retain(Set.of(), 3, START.plusMillis(400));
        mRegistry.put(entry("e1", false), 4);
        assertThat(mRegistry.expire(START.plusSeconds(5))).isEmpty();
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    @Test
    void outdatedListingRemovesNothing() {
        mRegistry.put(entry("e1", false), 9);
        mRegistry.retain(Set.of(), 8, START);
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }

    // Guards against new work for an endpoint that is gone: the store dropped its entry without a
    // record, and other daemons told of newer records before the listing arrived.
    @Test
    void listingRemovesEarlierEntriesAlsoIfNewerRecordsAreKnown() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e2", false), 9);
        mRegistry.retain(Set.of(), 8, START);
        assertThat(mRegistry.usable("pool")).extracting(EndpointEntry::id).containsExactly("e2");
    }

    // Guards against a service without endpoints: the entries are those of a later position, as
    // their next writes were skipped, and the answer with the listing was late.
    @Test
    void listingBeforeExactPositionRemovesNothing() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.recordExact(9);
        mRegistry.retain(Set.of(), 8, START);
        assertThat(mRegistry.usable("pool")).hasSize(1);
        mRegistry.retain(Set.of(), 10, START);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // Guards against new work for an endpoint that is gone, and a service without endpoints: late
    // messages and answers have records from before those that were skipped.
    @Test
    void recordsBeforeExactPositionAreOfNoEffect() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.recordExact(9);
        assertThat(mRegistry.put(entry("e2", false), 5)).isEqualTo(EntryEffect.NONE);
        assertThat(mRegistry.remove("e1", 5, START)).isFalse();
        assertThat(mRegistry.removeConfirmed("e1", 6)).isFalse();
        assertThat(mRegistry.markUnreadable("e1", 7)).isFalse();
        assertThat(mRegistry.usable("pool")).extracting(EndpointEntry::id).containsExactly("e1");
        assertThat(mRegistry.remove("e1", 9, START)).isTrue();
    }

    // Guards against records that are skipped although they change the view of another daemon.
    @Test
    void changedEndIsBehindLastRecordThatIsNoHeartbeat() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e1", false), 2);
        assertThat(mRegistry.changedEnd()).isEqualTo(2);
        mRegistry.put(slots("e1", 32), 3);
        assertThat(mRegistry.changedEnd()).isEqualTo(4);
        mRegistry.put(slots("e1", 32), 4);
        mRegistry.remove("e9", 5, START);
        assertThat(mRegistry.changedEnd()).isEqualTo(6);
        mRegistry.markUnreadable("e1", 6);
        assertThat(mRegistry.changedEnd()).isEqualTo(7);
        mRegistry.retain(Set.of("e1"), 12, START);
        assertThat(mRegistry.changedEnd()).isEqualTo(12);
    }

    // Guards against an endpoint that gets more work than it takes: only its slots have changed.
    @Test
    void changeOfSlotsIsChangeOfContent() {
        mRegistry.put(entry("e1", false), 1);
        final long digest = mRegistry.digest();
        final long content = mRegistry.contentDigest();
        mRegistry.put(entry("e1", false), 2);
        assertThat(mRegistry.contentDigest()).isEqualTo(content);
        assertThat(mRegistry.put(slots("e1", 32), 3)).isEqualTo(EntryEffect.CHANGED);
        assertThat(mRegistry.digest()).isEqualTo(digest);
        assertThat(mRegistry.contentDigest()).isNotEqualTo(content);
    }

    // Guards against reads without end: the digests are kept with each change, and must be those of
    // a daemon that has the same entries by another way.
    @Test
    void digestsDependOnTheEntriesOnly() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.put(entry("e2", false), 2);
        mRegistry.put(slots("e3", 32), 3);
        mRegistry.put(slots("e3", 64), 4);
        mRegistry.markUnreadable("e1", 5);
        mRegistry.removeConfirmed("e2", 6);
        mRegistry.put(entry("e4", false), 7);
        mRegistry.recordOutage(START);
        mRegistry.remove("e4", 8, START);
        mRegistry.put(entry("e5", false), 9);
        mRegistry.markLeaving(EndpointStart.of(entry("e5", false)));
        mRegistry.put(entry("e6", true), 10);
        mRegistry.remove("e6", 11, START);
        final EndpointRegistry other = new EndpointRegistry();
        other.put(entry("e5", false), 1);
        other.put(slots("e3", 64), 2);
        assertThat(mRegistry.digest()).isEqualTo(other.digest());
        assertThat(mRegistry.contentDigest()).isEqualTo(other.contentDigest());
        mRegistry.expire(START.plusSeconds(9));
        mRegistry.retain(Set.of(), 12, START.plusSeconds(9));
        assertThat(mRegistry.digest()).isZero();
        assertThat(mRegistry.contentDigest()).isZero();
    }

    private static EndpointEntry slots(final String id, final int slots) {
        return EndpointEntry.builder(
                        id, "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .slots(slots)
                .build();
    }

    @Test
    void replacedEndpointIsNotUsedAgain() {
        mRegistry.put(entry("e1", false), 1);
        mRegistry.markLeaving(EndpointStart.of(entry("e1", false)));
        mRegistry.put(entry("e1", false), 2);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // Guards against requests to an endpoint that has said that it leaves: the store does not say
    // so, lists it as ready again, or lists it here only after another daemon has told of it.
    @Test
    void endpointThatHasSaidThatItLeavesIsNotUsedAgain() {
        mRegistry.put(entry("e1", false), 1);
        assertThat(mRegistry.isUsable("e1")).isTrue();
        assertThat(mRegistry.markLeaving(EndpointStart.of(entry("e1", false)))).isTrue();
        assertThat(mRegistry.markLeaving(EndpointStart.of(entry("e1", false)))).isFalse();
        mRegistry.put(entry("e1", false), 2);
        assertThat(mRegistry.isUsable("e1")).isFalse();
        assertThat(mRegistry.isLeaving("e1")).isTrue();

        assertThat(mRegistry.markLeaving(EndpointStart.of(entry("e2", false)))).isFalse();
        mRegistry.put(entry("e2", false), 3);
        assertThat(mRegistry.usable("pool")).isEmpty();
    }

    // Guards against sparing an endpoint that has started again, also if its entry was gone
    // between, and against a statement of its earlier start that is told late.
    @Test
    void departureEndsWithNextStart() {
        final EndpointEntry first = entry("e1", false, Optional.of(START));
        final EndpointEntry second = entry("e1", false, Optional.of(START.plusSeconds(9)));
        mRegistry.put(first, 1);
        mRegistry.markLeaving(EndpointStart.of(first));
        mRegistry.remove("e1", 2, START);
        mRegistry.put(second, 3);
        assertThat(mRegistry.isUsable("e1")).isTrue();
        assertThat(mRegistry.markLeaving(EndpointStart.of(first))).isFalse();
        mRegistry.put(second, 4);
        assertThat(mRegistry.isUsable("e1")).isTrue();
    }

    // Guards against sending requests to a removed server. Another daemon reported its removal, but
    // the datagram that had reported the server was lost; then this daemon read the older records.
    @Test
    void removalOfUnknownEndpointIsRemembered() {
        assertThat(mRegistry.remove("e1", 5, START)).isFalse();
        mRegistry.put(entry("e1", false), 3);
        assertThat(mRegistry.usable("pool")).isEmpty();
        mRegistry.put(entry("e1", false), 6);
        assertThat(mRegistry.usable("pool")).hasSize(1);
    }
}
