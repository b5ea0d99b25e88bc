package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;

class ConfigurationReadAgeTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private Instant mNow = START;

    private static Member member(final String name) {
        final InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7600);
        return new Member(name, "i-" + name, "domain-a", address, address);
    }

    private boolean isCovered(final long digestMillis, final long askedMillis) {
        mNow = START;
        final ServingState state = TestServing.state(() -> mNow);
        final MemberTable members = new MemberTable(member("z"));
        final DigestReadCoordinator listener = new DigestReadCoordinator(state, members);
        final DigestReadCoordinator reader =
                new DigestReadCoordinator(state, new MemberTable(member("a")));
        reader.recordConfigurationRead();
        mNow = START.plusMillis(digestMillis);
        listener.receive("a", reader.createDigest());
        mNow = START.plusMillis(askedMillis);
        members.recordReport(member("a"), MemberStatus.READY, mNow);
        members.recordReport(member("b"), MemberStatus.READY, mNow);
        return listener.isCovered(StoreTopic.CONFIGURATION);
    }

    // Guards against a change that is late at a daemon that others read for: the reader goes on to
    // send what it has read of the endpoints, and gets no answers for the configuration. The age of
    // its read counts from the read, not from the digest that tells of it.
    @Test
    void oldReadDoesNotCoverAlthoughItsDigestIsNew() {
        assertThat(isCovered(1_100, 1_400)).isFalse();
        assertThat(isCovered(800, 1_600)).isFalse();
    }

    @Test
    void readInProgressCovers() {
        assertThat(isCovered(0, 850)).isTrue();
        assertThat(isCovered(400, 1_050)).isTrue();
        assertThat(isCovered(1_000, 1_200)).isTrue();
    }
}
