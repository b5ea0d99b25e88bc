package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;

class DigestReadCoordinatorTest {

    private final Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final List<StoreTopic> mTopicsToRead = new ArrayList<>();
    private final List<Long> mSkippedTo = new ArrayList<>();

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

    private DigestReadCoordinator nonReader(final ServingState state) {
        final MemberTable members = new MemberTable(member("z"));
        members.recordReport(member("a"), MemberStatus.READY, mNow);
        members.recordReport(member("b"), MemberStatus.READY, mNow);
        final DigestReadCoordinator digests = new DigestReadCoordinator(state, members);
        digests.onNewRecords(mTopicsToRead::add);
        digests.onSkippableEndpoints(mSkippedTo::add);
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
}
