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
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;

class StoreDigestsTest {

    private final Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final List<StoreTopic> mWoken = new ArrayList<>();
    private final List<Long> mSkipped = new ArrayList<>();

    private ServingState state() {
        return TestServing.state(() -> mNow);
    }

    private static Member member(final String name) {
        final InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7600);
        return new Member(name, "i-" + name, "domain-a", address, address);
    }

    private static void list(final ServingState state, final String id, final long offset) {
        state.endpoints().put(TestServing.endpoint(id, false), offset);
    }

    private StoreDigests follower(final ServingState state) {
        final MemberTable members = new MemberTable(member("z"));
        members.recordReport(member("a"), true, false, mNow);
        members.recordReport(member("b"), true, false, mNow);
        final StoreDigests digests = new StoreDigests(state, members);
        digests.onNews(mWoken::add);
        digests.onSameEndpoints(mSkipped::add);
        return digests;
    }

    private StoreDigests reader(final ServingState state, final long end) {
        final StoreDigests digests = new StoreDigests(state, new MemberTable(member("a")));
        digests.endpointsRead(end);
        return digests;
    }

    // Every change of an endpoint cost each daemon two reads of the store: one as the first reader
    // told of it, and one more as the second reader, which had not seen it yet, told otherwise.
    @Test
    void digestThatIsOlderThanOneselfIsNoNews() {
        final ServingState own = state();
        list(own, "e-1", 4);
        final StoreDigests digests = follower(own);
        digests.endpointsRead(5);
        digests.take("b", reader(state(), 3).digest());
        assertThat(mWoken).isEmpty();
        assertThat(digests.isCovered(StoreTopic.ENDPOINTS)).isTrue();
    }

    @Test
    void digestThatTellsMoreWakes() {
        final ServingState readers = state();
        list(readers, "e-1", 4);
        final StoreDigests digests = follower(state());
        digests.take("a", reader(readers, 5).digest());
        assertThat(mWoken).containsExactly(StoreTopic.ENDPOINTS);
        assertThat(digests.isCovered(StoreTopic.ENDPOINTS)).isFalse();
    }

    @Test
    void recordsThatChangedNothingAreSkipped() {
        final StoreDigests digests = follower(state());
        digests.take("a", reader(state(), 90).digest());
        assertThat(mWoken).isEmpty();
        assertThat(mSkipped).containsExactly(90L);
    }
}
