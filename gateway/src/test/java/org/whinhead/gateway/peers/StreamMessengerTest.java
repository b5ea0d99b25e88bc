package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.stream.StreamHolders;
import org.whinhead.serving.stream.StreamKey;
import org.whinhead.serving.stream.StreamLookup;
import org.whinhead.serving.stream.StreamOrigin;
import org.whinhead.serving.stream.StreamRecord;

class StreamMessengerTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final int DAEMONS = 8;
    private static final int FIRST_PORT = 7_600;
    private static final StreamKey KEY = new StreamKey(1, 2, 3);
    private static final StreamOrigin ORIGIN = new StreamOrigin("pool", "v1");
    private static final StreamRecord STREAM =
            new StreamRecord(KEY, ORIGIN, Duration.ofSeconds(10));

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final Map<InetSocketAddress, StreamMessenger> mMessengers = new HashMap<>();
    private final List<Member> mDaemons = new ArrayList<>();
    private final Set<InetSocketAddress> mSilent = new HashSet<>();
    private final List<StreamLookup> mFound = new ArrayList<>();
    private int mSent;

    StreamMessengerTest() {
        for (int number = 0; number < DAEMONS; number++) {
            final InetSocketAddress address =
                    new InetSocketAddress("127.0.0.1", FIRST_PORT + number);
            mDaemons.add(
                    new Member("daemon-" + number, "first", "domain-" + number, address, address));
        }
        mDaemons.forEach(daemon -> start(daemon, true));
    }

    private void start(final Member self, final boolean withReports) {
        final MemberTable members = new MemberTable(self);
        if (withReports) {
            mDaemons.forEach(daemon -> members.recordReport(daemon, MemberStatus.READY, NOW));
        }
        final ServingState state = TestServing.state(() -> NOW);
        mMessengers.put(
                self.peerAddress(),
                new StreamMessenger(
                        mChannel.eventLoop(),
                        state,
                        members,
                        new StreamMessenger.Transport(
                                () -> mDaemons.stream().map(Member::peerAddress).toList(),
                                (datagram, receivers) ->
                                        receivers.forEach(
                                                receiver ->
                                                        send(
                                                                self.peerAddress(),
                                                                receiver,
                                                                datagram)))));
    }

    private void send(
            final InetSocketAddress sender,
            final InetSocketAddress receiver,
            final Datagram datagram) {
        mSent++;
        if (!mSilent.contains(receiver) && !mSilent.contains(sender)) {
            mChannel.eventLoop().execute(() -> mMessengers.get(receiver).receive(datagram, sender));
        }
    }

    private StreamMessenger daemon(final int number) {
        return mMessengers.get(mDaemons.get(number).peerAddress());
    }

    private void pass(final int millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runPendingTasks();
        mChannel.runScheduledPendingTasks();
        mChannel.runPendingTasks();
    }

    @Test
    void streamOfAnotherDaemonIsFound() {
        daemon(0).add(STREAM);
        pass(1);
        for (int number = 0; number < DAEMONS; number++) {
            daemon(number).find(KEY, mFound::add);
            pass(1);
        }
        assertThat(mFound).hasSize(DAEMONS).containsOnly(StreamLookup.found(ORIGIN));
    }

    // Guards against a stream that can't go on: the daemon that began it was killed, and so were
    // some of those that know it.
    @Test
    void streamOfKilledDaemonIsFound() {
        daemon(0).add(STREAM);
        pass(1);
        for (int number = 0; number < 4; number++) {
            mSilent.add(mDaemons.get(number).peerAddress());
        }
        for (int number = 4; number < DAEMONS; number++) {
            daemon(number).find(KEY, mFound::add);
            pass(1);
        }
        assertThat(mFound).hasSize(4).containsOnly(StreamLookup.found(ORIGIN));
    }

    // Guards against a daemon that was just started and refuses all streams of others.
    @Test
    void startedDaemonAsksBeforeItHasReports() {
        daemon(0).add(STREAM);
        pass(1);
        start(mDaemons.get(5), false);
        daemon(5).find(KEY, mFound::add);
        pass(1);
        assertThat(mFound).containsExactly(StreamLookup.found(ORIGIN));
    }

    @Test
    void lostQueryIsRepeated() {
        daemon(0).add(STREAM);
        pass(1);
        mSilent.add(mDaemons.get(3).peerAddress());
        daemon(3).find(KEY, mFound::add);
        pass(1);
        final boolean asksOthers = mFound.isEmpty();
        mSilent.clear();
        pass(100);
        assertThat(mFound).hasSize(1);
        assertThat(mFound.get(0).origin().isPresent() || !asksOthers).isTrue();
    }

    @Test
    void unknownStreamIsAnsweredAtOnceIfAllReply() {
        daemon(1).find(KEY, mFound::add);
        pass(1);
        assertThat(mFound).containsExactly(StreamLookup.UNKNOWN);
    }

    @Test
    void searchEndsThoughSomeDaemonsAreSilent() {
        mSilent.add(mDaemons.get(6).peerAddress());
        daemon(1).find(KEY, mFound::add);
        pass(1);
        assertThat(mFound).isEmpty();
        pass(300);
        assertThat(mFound).containsExactly(StreamLookup.UNKNOWN);
    }

    @Test
    void requestsForOneStreamShareTheSearch() {
        daemon(1).find(KEY, mFound::add);
        final int sent = mSent;
        daemon(1).find(KEY, mFound::add);
        assertThat(mSent).isEqualTo(sent);
        pass(1);
        assertThat(mFound).hasSize(2);
    }

    @Test
    void cancelledSearchIsNotAnswered() {
        daemon(1).find(KEY, mFound::add).run();
        pass(300);
        assertThat(mFound).isEmpty();
    }

    // Guards against a stream that goes on at either of two versions: its id was used for both.
    @Test
    void idOfTwoStreamsIsAmbiguousAtAllDaemons() {
        daemon(0).add(STREAM);
        daemon(1)
                .add(
                        new StreamRecord(
                                KEY, new StreamOrigin("pool", "v1.1"), Duration.ofSeconds(10)));
        pass(1);
        for (final Member holder : StreamHolders.toTell(KEY, mDaemons, 2)) {
            mMessengers.get(holder.peerAddress()).find(KEY, mFound::add);
            pass(1);
        }
        assertThat(mFound).contains(StreamLookup.AMBIGUOUS);
    }
}
