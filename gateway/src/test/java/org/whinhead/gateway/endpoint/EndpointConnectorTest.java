package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.http.HttpReply;
import org.whinhead.gateway.http.OutboundRequest;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.gateway.relay.RelayServer;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.reach.AccessPath;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.reach.RelaySelector;

class EndpointConnectorTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final int TIMEOUT_SECONDS = 10;
    private static final String SERVICE = "pool";

    /** Less than the time for which the connection of a probe must stay open. */
    private static final int DRAIN_MILLIS = 10;

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private final BlockingQueue<String> mOutcomes = new LinkedBlockingQueue<>();
    private final MemberTable mMembers = new MemberTable(member("a1"));
    private final EndpointReach mReach = new EndpointReach();
    private final EndpointConnector mConnector =
            new EndpointConnector(
                    mLoop,
                    this::now,
                    LOOPBACK,
                    mReach,
                    new RelaySelector(mMembers, new Random(1)),
                    new ConnectionLogger(new RequestMetrics()));
    private final AtomicInteger mDenials = new AtomicInteger();
    private final List<Socket> mFillers = new ArrayList<>();
    private ServerSocket mEndpoint;
    private RelayServer mRelay;
    private Instant mNow = NOW;
    private volatile Duration mClockStep = Duration.ZERO;
    private boolean mDrainsOnce;
    private volatile boolean mRelayReachesEndpoint = true;

    private static Member member(final String name) {
        final InetSocketAddress address = new InetSocketAddress(LOOPBACK, 7600);
        return new Member(name, name + "-first", "domain-a", address, address);
    }

    @BeforeEach
    void startRelay() throws Exception {
        mEndpoint = new ServerSocket(0, 50, LOOPBACK);
        final int port = freePort();
        onLoop(
                () -> {
                    final RelayServer server =
                            new RelayServer(mLoop, LOOPBACK, this::findForRelay, address -> true);
                    server.listen(new InetSocketAddress(LOOPBACK, port));
                    mRelay = server;
                    return server;
                });
        mMembers.recordReport(
                member("a2"), new MemberStatus(true, false, false, OptionalInt.of(port)), NOW);
    }

    /** Returns the time, which goes on by the same step each time. */
    private Instant now() {
        mNow = mNow.plus(mClockStep);
        return mNow;
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            return free.getLocalPort();
        }
    }

    @AfterEach
    void close() throws IOException {
        for (final Socket filler : mFillers) {
            filler.close();
        }
        mEndpoint.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(final Callable<T> task) throws Exception {
        return mLoop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** The relay reaches endpoints at an address at which this daemon's connections fail. */
    private Optional<EndpointEntry> findForRelay(final String id) {
        if (mDrainsOnce) {
            mDrainsOnce = false;
            mLoop.schedule(() -> mRelay.drain(id), DRAIN_MILLIS, TimeUnit.MILLISECONDS);
        }
        return mRelayReachesEndpoint
                ? Optional.of(entry(id, mEndpoint.getLocalPort()))
                : Optional.empty();
    }

    private static EndpointEntry entry(final String id, final int port) {
        final InetSocketAddress address = new InetSocketAddress(LOOPBACK, port);
        return EndpointEntry.builder(id, SERVICE, address, "domain-a").build();
    }

    private String connect(final EndpointEntry endpoint) throws Exception {
        final ConnectListener listener =
                new ConnectListener() {
                    @Override
                    public void connected(final Channel channel, final AccessPath path) {
                        mOutcomes.add(path.name());
                    }

                    @Override
                    public void failed(final ConnectFailure failure) {
                        mOutcomes.add("failed: " + failure);
                    }
                };
        mLoop.execute(
                () -> mConnector.connect(endpoint, ChannelInboundHandlerAdapter::new, listener));
        return mOutcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private AccessPath pathTo(final String endpoint) throws Exception {
        return onLoop(() -> mReach.pathTo(endpoint, SERVICE));
    }

    @Test
    void reachableEndpointIsConnectedDirectly() throws Exception {
        assertThat(connect(entry("e-1", mEndpoint.getLocalPort()))).isEqualTo("DIRECT");
        assertThat(pathTo("e-1")).isEqualTo(AccessPath.DIRECT);
    }

    // Guards against requests that are refused although their endpoint serves others: this daemon's
    // connections to it are refused.
    @Test
    void refusedEndpointIsReachedThroughAnotherDaemon() throws Exception {
        assertThat(connect(entry("e-1", freePort()))).isEqualTo("RELAYED");
        assertThat(pathTo("e-1")).isEqualTo(AccessPath.RELAYED);
        assertThat(connect(entry("e-1", freePort()))).isEqualTo("RELAYED");
    }

    // Guards against requests that wait for a connection until their deadline: the packets to the
    // endpoint get lost.
    @Test
    void silentEndpointIsReachedThroughAnotherDaemon() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, LOOPBACK)) {
            fillBacklog(full);
            assertThat(connect(entry("e-1", full.getLocalPort()))).isEqualTo("RELAYED");
        }
    }

    /** Opens connections until the listener drops the packets of further ones. */
    private void fillBacklog(final ServerSocket listener) throws IOException {
        for (int index = 0; index < 3; index++) {
            final Socket filler = new Socket();
            mFillers.add(filler);
            try {
                filler.connect(listener.getLocalSocketAddress(), 200);
            } catch (java.net.SocketTimeoutException e) {
                return;
            }
        }
    }

    // Guards against a daemon that believes itself cut off when the endpoint is down.
    @Test
    void endpointThatNobodyReachesIsChargedWithTheFailure() throws Exception {
        mRelayReachesEndpoint = false;
        assertThat(connect(entry("e-1", freePort()))).isEqualTo("failed: ENDPOINT");
        assertThat(pathTo("e-1")).isEqualTo(AccessPath.DIRECT);
    }

    // Guards against endpoints being avoided after a cut because their daemon was cut off and had
    // nobody to relay its connections.
    @Test
    void endpointIsNotChargedIfNobodyRelaysDuringCut() throws Exception {
        assertThat(connect(entry("e-1", freePort()))).isEqualTo("RELAYED");
        assertThat(connect(entry("e-2", freePort()))).isEqualTo("RELAYED");
        mMembers.recordReport(member("a2"), MemberStatus.READY.asLeaving(), NOW);
        assertThat(connect(entry("e-3", freePort()))).isEqualTo("failed: PATH");
    }

    // Guards against a daemon that can't use endpoints which it reaches again, as the daemons that
    // relayed for it are gone.
    @Test
    void cutOffDaemonWithoutRelaysTriesDirectConnections() throws Exception {
        connect(entry("e-1", freePort()));
        connect(entry("e-2", freePort()));
        mMembers.recordReport(member("a2"), MemberStatus.READY.asLeaving(), NOW);
        assertThat(connect(entry("e-3", mEndpoint.getLocalPort()))).isEqualTo("DIRECT");
    }

    // Guards against runs that are lost with their leaving endpoint: the daemon that should move
    // them is cut off from it.
    @Test
    void ownCallReachesEndpointThroughAnotherDaemon() throws Exception {
        final EndpointHttpClients clients = new EndpointHttpClients(mLoop, mConnector);
        final EndpointEntry cutOff = entry("e-1", freePort());
        final OutboundRequest call =
                OutboundRequest.builder(HttpMethod.GET, "/moves")
                        .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
                        .build();
        final CompletableFuture<HttpReply> reply =
                onLoop(() -> clients.clientOf(cutOff).call(call));
        try (Socket endpoint = mEndpoint.accept()) {
            endpoint.getOutputStream()
                    .write(
                            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                                    .getBytes(StandardCharsets.US_ASCII));
            assertThat(reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).isSuccess()).isTrue();
        }
    }

    // Guards against an endpoint that is taken for crashed, and streams that are broken off, since
    // the daemon that relays the check of it stops.
    @Test
    void probeThatEndsWithItsRelayIsMadeAgain() throws Exception {
        mLoop.execute(() -> mDrainsOnce = true);
        assertThat(probe(entry("e-1", freePort()))).isEqualTo("accepted");
    }

    // Guards against a sound endpoint that is taken for crashed, and innocent requests that are
    // held back, since something on the way to it accepts connections and ends them.
    @Test
    void endpointThatOnlyAnotherDaemonReachesHasNotCrashed() throws Exception {
        try (ServerSocket ending = new ServerSocket(0, 50, LOOPBACK)) {
            startThread(() -> endAll(ending));
            assertThat(probe(entry("e-1", ending.getLocalPort()))).isEqualTo("accepted");
        }
    }

    // Guards against a sound endpoint that is taken for crashed, since the daemon that is asked
    // about it stops.
    @Test
    void endOfTheRelayThatWasAskedTellsNothing() throws Exception {
        mLoop.execute(() -> mDrainsOnce = true);
        try (ServerSocket ending = new ServerSocket(0, 50, LOOPBACK)) {
            startThread(() -> endAll(ending));
            assertThat(probe(entry("e-1", ending.getLocalPort()))).isEqualTo("failed: PATH");
        }
    }

    // Guards against a crash that is not found: the port of the endpoint accepts connections some
    // milliseconds longer than its process lasts.
    @Test
    void endpointThatEndsTheConnectionsOfAllHasCrashed() throws Exception {
        startThread(() -> endAll(mEndpoint));
        assertThat(probe(entry("e-1", mEndpoint.getLocalPort()))).isEqualTo("failed: ENDPOINT");
    }

    @Test
    void endpointThatNobodyReachesHasCrashed() throws Exception {
        mRelayReachesEndpoint = false;
        startThread(() -> endAll(mEndpoint));
        assertThat(probe(entry("e-1", mEndpoint.getLocalPort()))).isEqualTo("failed: ENDPOINT");
    }

    // Guards against a cut stream that counts as whole: several endpoints crash at once, so that no
    // daemon knows whether it is cut off, and all deny.
    @Test
    void endpointWhoseRelaysDenyHasCrashed() throws Exception {
        onLoop(() -> denyRelays(mRelay));
        startThread(() -> endAll(mEndpoint));
        assertThat(probe(entry("e-1", mEndpoint.getLocalPort()))).isEqualTo("failed: ENDPOINT");
    }

    @Test
    void endpointOfTheOnlyDaemonHasCrashed() throws Exception {
        mMembers.recordReport(member("a2"), MemberStatus.READY.asLeaving(), NOW);
        startThread(() -> endAll(mEndpoint));
        assertThat(probe(entry("e-1", mEndpoint.getLocalPort()))).isEqualTo("failed: ENDPOINT");
    }

    // Guards against requests that fail although one daemon reaches the endpoints: most of the
    // others are cut off, too, and are asked first.
    @Test
    void endpointIsReachedThroughTheOnlyDaemonThatDoesNotDeny() throws Exception {
        for (int index = 3; index < 12; index++) {
            startDenyingRelay("a" + index);
        }
        assertThat(connect(entry("e-1", freePort()))).isEqualTo("RELAYED");
    }

    // Guards against a crash that is found too late, so that a cut stream counts as whole: busy
    // daemons that may be cut off themselves deny one after the other.
    @Test
    void slowDenialsEndTheSearch() throws Exception {
        mMembers.recordReport(member("a2"), MemberStatus.READY.asLeaving(), NOW);
        for (int index = 3; index < 12; index++) {
            startDenyingRelay("a" + index);
        }
        mClockStep = Duration.ofMillis(25);
        assertThat(connect(entry("e-1", freePort()))).isEqualTo("failed: ENDPOINT");
        assertThat(mDenials.get()).isEqualTo(2);
    }

    private void startDenyingRelay(final String name) throws Exception {
        final int port = freePort();
        onLoop(
                () -> {
                    final RelayServer server =
                            new RelayServer(mLoop, LOOPBACK, this::findForRelay, address -> true);
                    server.listen(new InetSocketAddress(LOOPBACK, port));
                    return denyRelays(server);
                });
        mMembers.recordReport(
                member(name), new MemberStatus(true, false, false, OptionalInt.of(port)), NOW);
    }

    private RelayServer denyRelays(final RelayServer server) {
        server.relayOnly(
                endpoint -> {
                    mDenials.incrementAndGet();
                    return false;
                },
                endpoint -> {});
        return server;
    }

    private static void startThread(final Runnable work) {
        final Thread thread = new Thread(work, "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private static void endAll(final ServerSocket server) {
        while (!server.isClosed()) {
            try {
                server.accept().close();
            } catch (IOException e) {
                // The test has ended.
                return;
            }
        }
    }

    private String probe(final EndpointEntry endpoint) throws InterruptedException {
        final EndpointConnections connections =
                new EndpointConnections(() -> NOW, new PlainProtocol(), mConnector, mReach);
        mLoop.execute(
                () ->
                        connections.probe(
                                endpoint,
                                () -> mOutcomes.add("accepted"),
                                failure -> mOutcomes.add("failed: " + failure)));
        return mOutcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
