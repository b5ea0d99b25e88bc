package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.EndpointShare;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;

@Timeout(30)
class PeerDatagramChannelTest {

    private static final Duration REPORTING_TIME = Duration.ofSeconds(3);
    private static final int REPORT_INTERVAL_MILLIS = 100;

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = mLoops.next();
    private final MemberTable mMembers =
            new MemberTable(member("a", new InetSocketAddress("127.0.0.1", 0)));
    private final DatagramSocket mPeer;
    private PeerDatagramChannel mTested;

    PeerDatagramChannelTest() throws SocketException {
        mPeer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    }

    private static Member member(final String name, final InetSocketAddress address) {
        return new Member(name, "i-" + name, "domain-a", address, address);
    }

    @BeforeEach
    void start() throws Exception {
        final ServingState state = TestServing.state(InstantSource.system());
        final PeerDatagramChannel channel =
                new PeerDatagramChannel(
                        mLoop, state, mMembers, new DigestReadCoordinator(state, mMembers));
        mTested = channel;
        mLoop.submit(
                        () -> {
                            channel.addContact((InetSocketAddress) mPeer.getLocalSocketAddress());
                            channel.start();
                        })
                .get();
    }

    @AfterEach
    void close() {
        mPeer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Receives a report of the tested daemon, which tells where it listens. */
    private SocketAddress testedAddress() throws IOException {
        final DatagramPacket packet = new DatagramPacket(new byte[1], 1);
        mPeer.receive(packet);
        return packet.getSocketAddress();
    }

    private byte[] report(final int endpoints) {
        final String address = "127.0.0.1:" + mPeer.getLocalPort();
        final PeerReport.Builder report =
                PeerReport.newBuilder()
                        .setName("b")
                        .setIncarnation("i-b")
                        .setDomain("domain-a")
                        .setCallerAddress(address)
                        .setPeerAddress(address)
                        .setReady(true);
        for (int endpoint = 0; endpoint < endpoints; endpoint++) {
            report.addShares(
                    EndpointShare.newBuilder()
                            .setEndpoint(String.format("i-%08x", endpoint))
                            .setRunning(1 + endpoint % 12)
                            .setPromptTokens(1_000 + endpoint));
        }
        return Datagram.newBuilder().setReport(report).build().toByteArray();
    }

    // Guards against daemons that count as silent since their reports are long.
    @ParameterizedTest
    @ValueSource(ints = {60, 200, 1_800})
    void daemonWithRequestsAtManyEndpointsIsHeard(final int endpoints) throws Exception {
        final SocketAddress receiver = testedAddress();
        final byte[] report = report(endpoints);
        final long end = System.nanoTime() + REPORTING_TIME.toNanos();
        while (System.nanoTime() < end && heardPeers() == 0) {
            mPeer.send(new DatagramPacket(report, report.length, receiver));
            TimeUnit.MILLISECONDS.sleep(REPORT_INTERVAL_MILLIS);
        }
        assertThat(heardPeers()).as("peers, reports of %d bytes", report.length).isEqualTo(1);
    }

    private int heardPeers() throws Exception {
        return mLoop.submit(() -> mMembers.peers().size()).get();
    }

    // Guards against messages between daemons that grow with the deployment and that nobody sees.
    @Test
    void datagramsAreCountedInBothDirections() throws Exception {
        final SocketAddress receiver = testedAddress();
        final byte[] report = report(1);
        mPeer.send(new DatagramPacket(report, report.length, receiver));
        final long end = System.nanoTime() + REPORTING_TIME.toNanos();
        while (System.nanoTime() < end && heardPeers() == 0) {
            TimeUnit.MILLISECONDS.sleep(REPORT_INTERVAL_MILLIS);
        }
        final DatagramTraffic traffic = mTested.traffic();
        final List<String> received = List.of("received", "report");
        assertThat(mLoop.submit(traffic::datagrams).get()).containsEntry(received, 1L);
        assertThat(mLoop.submit(traffic::bytes).get())
                .containsEntry(received, (long) report.length);
        assertThat(mLoop.submit(traffic::datagrams).get().get(List.of("sent", "report")))
                .isPositive();
    }
}
