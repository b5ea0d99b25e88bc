package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.gateway.relay.RelayServer;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointRegistry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.reach.AccessPath;
import org.whinhead.serving.reach.DirectLoss;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.reach.RelaySelector;

class ReachMonitorTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int TIMEOUT_SECONDS = 10;
    private static final String SERVICE = "api";
    private static final String OTHER_SERVICE = "pool";

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();
    private final List<Socket> mAccepted = new ArrayList<>();
    private final AtomicInteger mAnsweredChecks = new AtomicInteger();
    private final MemberTable mMembers = new MemberTable(member("a1"));
    private final EndpointReach mReach = new EndpointReach();
    private final EndpointRegistry mEndpoints = new EndpointRegistry();
    private volatile Instant mNow = START;
    private final EndpointConnector mConnector =
            new EndpointConnector(
                    mLoop,
                    () -> mNow,
                    LOOPBACK,
                    mReach,
                    new RelaySelector(mMembers, new Random(1)),
                    new ConnectionLogger(new RequestMetrics()));
    private final EndpointConnections mConnections =
            new EndpointConnections(() -> mNow, new PlainProtocol(), mConnector, mReach);
    private final ReachMonitor mMonitor =
            new ReachMonitor(
                    mConnector,
                    mConnections,
                    new PlainProtocol(),
                    mReach,
                    mEndpoints,
                    service -> "/health",
                    new Random(1));
    private volatile String mHealthHeaders = "";
    private volatile boolean mEndsRequests;
    private volatile int mAnswerDelayMillis;
    private ServerSocket mAnswering;
    private ServerSocket mSilent;

    private final class RecordingListener implements EndpointResponseListener {
        @Override
        public void headReceived(final EndpointResponse response) {
            mEvents.add("head");
        }

        @Override
        public void bodyReceived(final ByteBuf bytes) {
            mEvents.add("body");
        }

        @Override
        public void completed(final ResponseEnd end) {
            mEvents.add("completed");
        }

        @Override
        public void pathLost() {
            mEvents.add("path lost");
        }

        @Override
        public void failed(final EndpointFailure failure) {
            mEvents.add(failure.name());
        }
    }

    private static Member member(final String name) {
        final InetSocketAddress address = new InetSocketAddress(LOOPBACK, 7600);
        return new Member(name, name + "-first", "domain-a", address, address);
    }

    @BeforeEach
    void startServersAndRelay() throws Exception {
        mAnswering = new ServerSocket(0, 50, LOOPBACK);
        mSilent = new ServerSocket(0, 50, LOOPBACK);
        startThread(() -> acceptAll(mAnswering, true));
        startThread(() -> acceptAll(mSilent, false));
        startRelay("a2", mAnswering);
    }

    /** Starts a daemon that relays connections to a server, whichever endpoint is asked for. */
    private void startRelay(final String name, final ServerSocket server) throws Exception {
        final int port;
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            port = free.getLocalPort();
        }
        onLoop(
                () -> {
                    final RelayServer relay =
                            new RelayServer(
                                    mLoop,
                                    LOOPBACK,
                                    id -> Optional.of(entry(id, server)),
                                    address -> true);
                    relay.listen(new InetSocketAddress(LOOPBACK, port));
                    return relay;
                });
        // The port is bound by a task of its own.
        onLoop(mEndpoints::all);
        mMembers.recordReport(
                member(name), new MemberStatus(true, false, false, OptionalInt.of(port)), START);
    }

    private static void startThread(final Runnable work) {
        final Thread thread = new Thread(work, "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll(final ServerSocket server, final boolean answersHealthChecks) {
        while (!server.isClosed()) {
            try {
                final Socket socket = server.accept();
                synchronized (mAccepted) {
                    mAccepted.add(socket);
                }
                if (answersHealthChecks) {
                    startThread(() -> answerHealthCheck(socket));
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    private void endAll(final ServerSocket server, final boolean resets) {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                if (resets) {
                    socket.setSoLinger(true, 0);
                } else {
                    socket.getInputStream().skip(socket.getInputStream().available());
                }
            } catch (IOException e) {
                // The test has ended, or the daemon has closed its connection.
                continue;
            }
        }
    }

    private void answerHealthCheck(final Socket socket) {
        try {
            final byte[] line = socket.getInputStream().readNBytes("GET /health".length());
            if (new String(line, StandardCharsets.US_ASCII).equals("GET /health")) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(mAnswerDelayMillis));
                socket.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\n"
                                                + mHealthHeaders
                                                + "Content-Length: 0\r\n\r\n")
                                        .getBytes(StandardCharsets.US_ASCII));
                mAnsweredChecks.incrementAndGet();
            } else if (mEndsRequests) {
                socket.close();
            }
        } catch (IOException e) {
            mEvents.add("health check not read: " + e);
        }
    }

    @AfterEach
    void close() throws IOException {
        mAnswering.close();
        mSilent.close();
        synchronized (mAccepted) {
            for (final Socket socket : mAccepted) {
                socket.close();
            }
        }
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(final Callable<T> task) throws Exception {
        return mLoop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static EndpointEntry entry(final String id, final ServerSocket server) {
        return entry(id, SERVICE, server);
    }

    private static EndpointEntry entry(
            final String id, final String service, final ServerSocket server) {
        final InetSocketAddress address = new InetSocketAddress(LOOPBACK, server.getLocalPort());
        return EndpointEntry.builder(id, service, address, "domain-a").build();
    }

    /** Lists two endpoints of the service at a server of the test. */
    private void listEndpoints(final ServerSocket server) throws Exception {
        onLoop(
                () -> {
                    mEndpoints.put(entry("e-1", server), 1);
                    mEndpoints.put(entry("e-2", server), 2);
                    return null;
                });
    }

    /** Sends a request on a new connection to the first endpoint. */
    private void sendRequest() throws Exception {
        final CompletableFuture<EndpointConnection> opened = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        mConnections.acquire(
                                mEndpoints.find("e-1").orElseThrow(),
                                opened::complete,
                                failure ->
                                        opened.completeExceptionally(
                                                new IOException(failure.name()))));
        final EndpointConnection connection = opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        onLoop(
                () -> {
                    connection.send(
                            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a"),
                            Unpooled.EMPTY_BUFFER,
                            new RecordingListener());
                    return null;
                });
    }

    /** Lets the monitor do what is due until a condition holds. */
    private void tickUntil(final Callable<Boolean> condition) throws Exception {
        final Instant end = Instant.now().plusSeconds(TIMEOUT_SECONDS);
        while (!onLoop(condition)) {
            assertThat(Instant.now()).isBefore(end);
            tick();
        }
    }

    private void tick() throws Exception {
        onLoop(
                () -> {
                    mMonitor.tick(mNow);
                    return null;
                });
    }

    private boolean isCutOff() {
        return mReach.isCutOff(SERVICE);
    }

    // Guards against requests that wait on dead connections until their deadline, and against more
    // of them following: what was sent to any endpoint of the service gets no answer.
    @Test
    void silenceOfWholeServiceIsCheckedAndItsRequestsAreTold() throws Exception {
        listEndpoints(mSilent);
        sendRequest();
        tick();
        assertThat(onLoop(this::isCutOff)).isFalse();
        mNow = START.plusMillis(300);
        tickUntil(this::isCutOff);
        tick();
        assertThat(mMonitor.isCutOff()).isTrue();
        assertThat(mEvents).containsExactly("path lost");
        tick();
        assertThat(mEvents).hasSize(1);
    }

    // Guards against a daemon that serves nobody as long as something on the way accepts its
    // connections for the endpoints and ends them.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void endOfNewConnectionsIsChecked(final boolean resets) throws Exception {
        try (ServerSocket ending = new ServerSocket(0, 50, LOOPBACK)) {
            startThread(() -> endAll(ending, resets));
            listEndpoints(ending);
            sendRequest();
            tickUntil(this::isCutOff);
            assertThat(onLoop(() -> mReach.isSilent("e-1", SERVICE))).isFalse();
        }
        assertThat(mEvents).containsExactly("CONNECTION_LOST");
    }

    // Guards against a daemon that doesn't find out that it is cut off, since the daemon that it
    // asks is cut off as well and doesn't know it yet.
    @Test
    void checkGoesOnThroughAnotherDaemon() throws Exception {
        mMembers.recordReport(member("a2"), MemberStatus.READY.asLeaving(), START);
        startRelay("a3", mSilent);
        startRelay("a4", mAnswering);
        listEndpoints(mSilent);
        sendRequest();
        mNow = START.plusMillis(300);
        tickUntil(this::isCutOff);
        tick();
        assertThat(mMonitor.isCutOff()).isTrue();
    }

    // Guards against a cut that is not found out while the endpoints are busy: a health check waits
    // for a slot, longer than it takes until another daemon is asked.
    @Test
    void lateAnswerThroughAnotherDaemonCounts() throws Exception {
        mAnswerDelayMillis = 150;
        startRelay("a3", mAnswering);
        listEndpoints(mSilent);
        sendRequest();
        mNow = START.plusMillis(300);
        tickUntil(this::isCutOff);
    }

    // Guards against an endpoint that ends one connection being taken for one that is out of reach.
    @Test
    void endOfOneConnectionIsNoCut() throws Exception {
        mEndsRequests = true;
        listEndpoints(mAnswering);
        sendRequest();
        tickUntil(() -> mAnsweredChecks.get() == 2);
        tick();
        assertThat(onLoop(() -> mReach.pathTo("e-1", SERVICE))).isEqualTo(AccessPath.DIRECT);
        assertThat(mEvents).containsExactly("CONNECTION_LOST");
    }

    // Guards against a busy endpoint being taken for one that is out of reach: it doesn't answer a
    // request for a while, but new connections work.
    @Test
    void busyEndpointIsNoCut() throws Exception {
        listEndpoints(mAnswering);
        sendRequest();
        mNow = START.plusMillis(300);
        tickUntil(() -> mAnsweredChecks.get() == 2);
        tick();
        assertThat(onLoop(() -> mReach.pathTo("e-1", SERVICE))).isEqualTo(AccessPath.DIRECT);
        assertThat(mEvents).isEmpty();
    }

    // Guards against requests to an endpoint whose answer to a health check says that it leaves,
    // and against ending the use of another endpoint than the one that has answered.
    @ParameterizedTest
    @CsvSource({"e-1, true", "e-2, true", "e-9, false"})
    void answerToHealthCheckSpeaksForItsEndpoint(final String answeredBy, final boolean heard)
            throws Exception {
        mHealthHeaders = "Leaving: 1\r\nEndpoint: " + answeredBy + "\r\n";
        final List<String> leaving = new CopyOnWriteArrayList<>();
        mMonitor.onHealthResponse(
                (endpoint, response) -> {
                    if (response.statements().leaving()) {
                        leaving.add(endpoint.id());
                    }
                });
        listEndpoints(mAnswering);
        sendRequest();
        mNow = START.plusMillis(300);
        tickUntil(() -> mAnsweredChecks.get() == 2);
        final List<String> expected = heard ? List.of(answeredBy) : List.of();
        tickUntil(() -> usable().size() == expected.size() && leaving.size() == expected.size());
        assertThat(leaving).isEqualTo(expected);
    }

    /** Returns the usable endpoints; those at whose address another one has answered are not. */
    private List<EndpointEntry> usable() {
        return mEndpoints.usable(SERVICE);
    }

    // Guards against the first request to a service being lost, long after the daemon has found out
    // that it is cut off from another one.
    @Test
    void otherServicesAreCheckedOnceOneIsOutOfReach() throws Exception {
        listEndpoints(mSilent);
        onLoop(
                () -> {
                    mEndpoints.put(entry("o-1", OTHER_SERVICE, mSilent), 3);
                    mEndpoints.put(entry("o-2", OTHER_SERVICE, mSilent), 4);
                    mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
                    mReach.recordRelayed("e-2", SERVICE, DirectLoss.SILENT, START);
                    return null;
                });
        tickUntil(() -> mReach.isCutOff(OTHER_SERVICE));
    }

    // Guards against a daemon that stays out of the directory, and connects through others, after
    // its own way is open again.
    @Test
    void cutEndsOnceEndpointAnswersDirectly() throws Exception {
        listEndpoints(mAnswering);
        final BlockingQueue<Boolean> changes = new LinkedBlockingQueue<>();
        mMonitor.onCutOffChange(() -> changes.add(mMonitor.isCutOff()));
        onLoop(
                () -> {
                    mReach.recordRelayed("e-1", SERVICE, DirectLoss.SILENT, START);
                    mReach.recordRelayed("e-2", SERVICE, DirectLoss.SILENT, START);
                    return null;
                });
        tick();
        assertThat(changes.poll()).isTrue();
        mNow = START.plus(Duration.ofMillis(600));
        tickUntil(() -> !isCutOff());
        tick();
        assertThat(changes.poll()).isFalse();
    }
}
