package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.StoreDigest;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;

class DigestReadCoordinatorTest {

    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final List<StoreTopic> mTopicsToRead = new ArrayList<>();
    private final List<Long> mSkippedTo = new ArrayList<>();
    private final MemberTable mMembers = new MemberTable(member("z"));
    private int mListings;

    private ServingState state() {
        return TestServing.state(() -> mNow);
    }

    private static Member member(final String name) {
        final InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7600);
        return new Member(name, "i-" + name, "domain-a", address, address);
    }

    private static void putEndpoint(final ServingState state, final String id, final long offset) {
        state.endpoints().put(TestServing.endpoint(id, false), offset);
    }

    private void hearReaders() {
        mMembers.recordReport(member("a"), MemberStatus.READY, mNow);
        mMembers.recordReport(member("b"), MemberStatus.READY, mNow);
    }

    private DigestReadCoordinator nonReader(final ServingState state) {
        hearReaders();
        final DigestReadCoordinator digests = new DigestReadCoordinator(state, mMembers);
        digests.onNewRecords(mTopicsToRead::add);
        digests.onSkippableEndpoints(mSkippedTo::add);
        digests.onListing(() -> mListings++);
        return digests;
    }

    private ServingState stateWithVersion(final long version) {
        final ServingState state = state();
        state.offerConfiguration(
                new ServingConfiguration(
                        version, List.of(), List.of(), CallerLimits.INITIAL, List.of()));
        return state;
    }

    private DigestReadCoordinator configurationReader(final long version) {
        final DigestReadCoordinator digests =
                new DigestReadCoordinator(stateWithVersion(version), new MemberTable(member("a")));
        digests.recordConfigurationRead();
        return digests;
    }

    private DigestReadCoordinator reader(final ServingState state, final long end) {
        final DigestReadCoordinator digests =
                new DigestReadCoordinator(state, new MemberTable(member("a")));
        digests.recordEndpointsRead(end);
        return digests;
    }

    // Guards against a second read of the store per endpoint change: one was caused by the first
    // reader's digest, another by the digest of the second reader, which had not read the change
    // yet.
    @Test
    void olderDigestCausesNoRead() {
        final ServingState own = state();
        putEndpoint(own, "e-1", 4);
        final DigestReadCoordinator digests = nonReader(own);
        digests.recordEndpointsRead(5);
        digests.receive("b", reader(state(), 3).createDigest());
        assertThat(mTopicsToRead).isEmpty();
        assertThat(digests.isCovered(StoreTopic.ENDPOINTS)).isTrue();
    }

    @Test
    void newerDigestCausesRead() {
        final ServingState readers = state();
        putEndpoint(readers, "e-1", 4);
        final DigestReadCoordinator digests = nonReader(state());
        digests.receive("a", reader(readers, 5).createDigest());
        assertThat(mTopicsToRead).containsExactly(StoreTopic.ENDPOINTS);
        assertThat(digests.isCovered(StoreTopic.ENDPOINTS)).isFalse();
    }

    // Guards against a confirmed configuration that is not in force at the daemons that don't read:
    // the digest of a reader that is behind must not hide the newer version in another digest.
    @Test
    void readerThatIsBehindDoesNotHideNewerConfiguration() {
        final DigestReadCoordinator digests = nonReader(stateWithVersion(12));
        digests.receive("a", configurationReader(12).createDigest());
        digests.receive("b", configurationReader(15).createDigest());
        assertThat(digests.isCovered(StoreTopic.CONFIGURATION)).isFalse();
        digests.receive("a", configurationReader(12).createDigest());
        assertThat(digests.isCovered(StoreTopic.CONFIGURATION)).isFalse();
    }

    // Guards against new work for an endpoint that is leaving: the digest of a reader that has not
    // read its notice yet must not hide the one of another reader that has.
    @Test
    void readerThatIsBehindDoesNotHideChangedEndpoints() {
        final ServingState own = state();
        putEndpoint(own, "e-1", 4);
        final ServingState ahead = state();
        ahead.endpoints().put(TestServing.endpoint("e-1", true), 6);
        final DigestReadCoordinator digests = nonReader(own);
        digests.recordEndpointsRead(5);
        digests.receive("a", reader(state(), 3).createDigest());
        digests.receive("b", reader(ahead, 7).createDigest());
        assertThat(digests.isCovered(StoreTopic.ENDPOINTS)).isFalse();
    }

    // Guards against a billed read by every daemon at each digest of a reader whose view differs
    // for
    // other reasons than the store's records.
    @Test
    void differenceThatReadingDidNotResolveCausesNoFurtherRead() {
        final ServingState readers = state();
        putEndpoint(readers, "e-1", 4);
        final DigestReadCoordinator digests = nonReader(state());
        digests.receive("a", reader(readers, 5).createDigest());
        digests.recordEndpointsRead(6);
        mTopicsToRead.clear();

        digests.receive("a", reader(readers, 9).createDigest());
        assertThat(mTopicsToRead).isEmpty();

        putEndpoint(readers, "e-2", 10);
        digests.receive("a", reader(readers, 11).createDigest());
        assertThat(mTopicsToRead).containsExactly(StoreTopic.ENDPOINTS);
    }

    // Guards against new work for an endpoint that is gone: its removal is skipped, as the view of
    // a reader that has read the entry and the removal at once is the one from before both.
    @Test
    void removalOfEntryThatReaderNeverShowedIsRead() {
        final ServingState readers = state();
        putEndpoint(readers, "e-1", 4);
        final ServingState own = state();
        final DigestReadCoordinator digests = nonReader(own);
        digests.receive("a", reader(readers, 5).createDigest());
        digests.recordEndpointsRead(6);
        putEndpoint(own, "e-2", 6);
        digests.recordEndpointsRead(7);
        mTopicsToRead.clear();

        digests.receive("a", reader(readers, 8).createDigest());
        assertThat(mSkippedTo).isEmpty();
        assertThat(mTopicsToRead).containsExactly(StoreTopic.ENDPOINTS);
    }

    // Guards against an old configuration while no reader has the new one: any daemon's report
    // tells
    // of its version.
    @Test
    void versionInReportOfAnyDaemonIsRead() {
        final ServingState own = stateWithVersion(12);
        final DigestReadCoordinator digests = nonReader(own);
        digests.receive("a", configurationReader(12).createDigest());
        own.configurationProgress().recordAnnounced(15, mNow);
        assertThat(digests.isCovered(StoreTopic.CONFIGURATION)).isFalse();
    }

    @Test
    void readersThatAgreeCoverTheConfiguration() {
        final DigestReadCoordinator digests = nonReader(stateWithVersion(12));
        digests.receive("a", configurationReader(12).createDigest());
        digests.receive("b", configurationReader(12).createDigest());
        assertThat(digests.isCovered(StoreTopic.CONFIGURATION)).isTrue();
    }

    @Test
    void recordsThatChangedNothingAreSkipped() {
        final DigestReadCoordinator digests = nonReader(state());
        digests.receive("a", reader(state(), 90).createDigest());
        assertThat(mTopicsToRead).isEmpty();
        assertThat(mSkippedTo).containsExactly(90L);
    }

    // Guards against new work for an endpoint that is gone: this daemon's own read ended behind the
    // records that the reader had, with an entry that the reader then read together with its
    // removal.
    @Test
    void removalOfEntryThatOwnReadAddedBehindDigestIsRead() {
        final ServingState readers = state();
        putEndpoint(readers, "e-1", 4);
        final ServingState own = state();
        final DigestReadCoordinator digests = nonReader(own);
        digests.receive("a", reader(readers, 5).createDigest());
        putEndpoint(own, "e-2", 6);
        digests.recordEndpointsRead(7);
        mTopicsToRead.clear();

        digests.receive("a", reader(readers, 9).createDigest());
        assertThat(mSkippedTo).isEmpty();
        assertThat(mTopicsToRead).containsExactly(StoreTopic.ENDPOINTS);
    }

    // Guards against new work for an endpoint that is gone: the reader holds its entry for missing
    // already, so that the removal does not change the reader's view.
    @Test
    void removalThatDoesNotChangeViewOfReaderIsRead() {
        final ServingState readers = state();
        putEndpoint(readers, "e-1", 1);
        readers.endpoints().recordOutage(mNow);
        readers.endpoints().retain(Set.of(), 4, mNow);
        final ServingState own = state();
        putEndpoint(own, "e-1", 1);
        final DigestReadCoordinator digests = nonReader(own);
        digests.receive("a", reader(readers, 5).createDigest());
        digests.recordEndpointsRead(6);
        mTopicsToRead.clear();
        digests.receive("a", reader(readers, 8).createDigest());
        assertThat(mTopicsToRead).isEmpty();

        readers.endpoints().remove("e-1", 9, mNow);
        digests.receive("a", reader(readers, 10).createDigest());
        assertThat(mTopicsToRead).containsExactly(StoreTopic.ENDPOINTS);
        assertThat(mSkippedTo).containsExactly(8L);
    }

    // Guards against an endpoint that gets more work than it takes for good: the set of the
    // endpoints is the same, and the message with the fewer slots was lost.
    @Test
    void changedContentIsRead() {
        final ServingState readers = state();
        putEndpoint(readers, "e-1", 4);
        final ServingState own = state();
        putEndpoint(own, "e-1", 4);
        readers.endpoints()
                .put(
                        EndpointEntry.builder(
                                        "e-1",
                                        "pool",
                                        new InetSocketAddress("127.0.0.1", 9000),
                                        "domain-a")
                                .slots(32)
                                .build(),
                        6);
        final DigestReadCoordinator digests = nonReader(own);
        digests.recordEndpointsRead(5);
        digests.receive("a", reader(readers, 7).createDigest());
        assertThat(mTopicsToRead).containsExactly(StoreTopic.ENDPOINTS);
    }

    // Guards against new work for an endpoint that is gone: the answer to a read that was in
    // progress has its entry, and the removal was among the records that were skipped meanwhile.
    @Test
    void entryBeforeSkippedRecordsIsOfNoEffect() {
        final ServingState own = state();
        final DigestReadCoordinator digests = nonReader(own);
        digests.receive("a", reader(state(), 9).createDigest());
        assertThat(mSkippedTo).containsExactly(9L);
        putEndpoint(own, "e-1", 6);
        assertThat(own.endpoints().all()).isEmpty();
        putEndpoint(own, "e-2", 9);
        assertThat(own.endpoints().all()).hasSize(1);
    }

    // Guards against reads without end, or none, beside daemons of the version before.
    @Test
    void digestOfOlderDaemonIsComparedByItsSet() {
        final ServingState readers = state();
        putEndpoint(readers, "e-1", 4);
        final ServingState own = state();
        final DigestReadCoordinator digests = nonReader(own);
        digests.receive("a", withoutNewFields(reader(readers, 5).createDigest()));
        assertThat(mTopicsToRead).containsExactly(StoreTopic.ENDPOINTS);
        digests.recordEndpointsRead(6);
        digests.receive("a", withoutNewFields(reader(readers, 9).createDigest()));
        assertThat(mTopicsToRead).hasSize(1);
        putEndpoint(own, "e-1", 4);
        digests.receive("a", withoutNewFields(reader(readers, 12).createDigest()));
        assertThat(mTopicsToRead).hasSize(1);
        assertThat(mSkippedTo).containsExactly(9L, 12L);
    }

    private static StoreDigest withoutNewFields(final StoreDigest digest) {
        return digest.toBuilder().clearEndpointsChangedEnd().clearEndpointsContentHash().build();
    }

    // Guards against new work for an endpoint that is gone: the store dropped its entry without a
    // record, and this daemon noticed no outage, so that no read of new records shows it.
    @Test
    void differenceThatRemainsIsListedOnce() {
        final ServingState own = state();
        putEndpoint(own, "e-1", 4);
        final DigestReadCoordinator digests = nonReader(own);
        digests.recordEndpointsRead(5);
        receiveForSeconds(digests, 2);
        assertThat(mListings).isZero();
        receiveForSeconds(digests, 7);
        assertThat(mListings).isEqualTo(1);
        own.endpoints().removeConfirmed("e-1", 6);
        receiveForSeconds(digests, 30);
        assertThat(mListings).isEqualTo(1);
    }

    private void receiveForSeconds(final DigestReadCoordinator digests, final int seconds) {
        for (int step = 0; step < 2 * seconds; step++) {
            digests.receive("a", reader(state(), 5).createDigest());
            mNow = mNow.plusMillis(500);
            hearReaders();
        }
    }

    // Guards against a daemon that doesn't learn that the store has returned from an older copy.
    @Test
    void positionsOfOwnAndOtherReadsAreTold() {
        final List<Long> positions = new ArrayList<>();
        final ServingState readers = state();
        final DigestReadCoordinator digests = nonReader(state());
        digests.onPosition(positions::add);
        digests.recordEndpointsRead(4);
        digests.receive("a", reader(readers, 5).createDigest());
        assertThat(positions).containsExactly(4L, 5L);
    }
}
