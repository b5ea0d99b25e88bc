package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.reach.RelaySelector;

class EndpointConnectionsTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int TIMEOUT_SECONDS = 10;
    private static final String SERVICE = "api";
    private static final String ACCEPTED = "accepted";

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private final EndpointReach mReach = new EndpointReach();
    private final List<Socket> mAccepted = new ArrayList<>();
    private volatile Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private volatile int mPart = 2;
    private final EndpointConnections mConnections =
            new EndpointConnections(
                    () -> mNow,
                    new PlainProtocol(),
                    new EndpointConnector(
                            mLoop,
                            () -> mNow,
                            LOOPBACK,
                            mReach,
                            new RelaySelector(new MemberTable(self()), new Random(1)),
                            new ConnectionLogger(new RequestMetrics())),
                    mReach);
    private ServerSocket mServer;
    private EndpointEntry mEndpoint;

    private static Member self() {
        final InetSocketAddress address = new InetSocketAddress(LOOPBACK, 7600);
        return new Member("a1", "a1-1", "domain-a", address, address);
    }

    @BeforeEach
    void listen() throws IOException {
        mServer = new ServerSocket(0, 50, LOOPBACK);
        mEndpoint =
                EndpointEntry.builder(
                                "e-1",
                                SERVICE,
                                new InetSocketAddress(LOOPBACK, mServer.getLocalPort()),
                                "domain-a")
                        .build();
        mConnections.limitTo(service -> mPart);
    }

    @AfterEach
    void close() throws Exception {
        mLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).await();
        for (final Socket socket : mAccepted) {
            socket.close();
        }
        mServer.close();
    }

    private <T> T onLoop(final Callable<T> task) throws Exception {
        return mLoop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private CompletableFuture<EndpointConnection> acquire() {
        final CompletableFuture<EndpointConnection> opened = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        mConnections.acquire(
                                mEndpoint,
                                opened::complete,
                                failure ->
                                        opened.completeExceptionally(
                                                new IOException(failure.name()))));
        return opened;
    }

    private EndpointConnection acquired() throws Exception {
        return acquire().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private boolean isWithinLimit() throws Exception {
        return !onLoop(() -> mConnections.withinLimit(SERVICE, List.of(mEndpoint))).isEmpty();
    }

    private boolean release(final EndpointConnection connection) throws Exception {
        return onLoop(
                () -> {
                    connection.release();
                    return true;
                });
    }

    // Guards against resets by the endpoint: connects that are in progress count as well.
    @Test
    void noConnectionIsOpenedBeyondThePart() throws Exception {
        final CompletableFuture<EndpointConnection> first = acquire();
        final CompletableFuture<EndpointConnection> second = acquire();
        assertThat(acquire())
                .failsWithin(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .withThrowableOfType(java.util.concurrent.ExecutionException.class)
                .withMessageContaining("LIMIT");
        assertThat(first).succeedsWithin(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(second).succeedsWithin(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(isWithinLimit()).isFalse();
        assertThat(onLoop(mConnections::openByService)).isEqualTo(Map.of(List.of(SERVICE), 2));
    }

    @Test
    void idleConnectionIsUsedAtThePart() throws Exception {
        final EndpointConnection first = acquired();
        acquired();
        release(first);
        assertThat(isWithinLimit()).isTrue();
        assertThat(onLoop(() -> mConnections.hasIdle("e-1"))).isTrue();
        assertThat(acquired()).isSameAs(first);
        assertThat(onLoop(() -> mConnections.hasIdle("e-1"))).isFalse();
    }

    // Guards against requests that are refused since connections that the endpoint is about to
    // close take this daemon's part.
    @Test
    void expiredConnectionMakesRoomForAnother() throws Exception {
        final EndpointConnection first = acquired();
        acquired();
        release(first);
        mNow = mNow.plus(EndpointConnections.DEFAULT_IDLE_TIMEOUT);
        assertThat(isWithinLimit()).isTrue();
        assertThat(acquired()).isNotSameAs(first);
    }

    // Guards against idle connections that keep daemons that were added from opening their own.
    @Test
    void idleConnectionsBeyondShrunkPartAreClosed() throws Exception {
        final EndpointConnection first = acquired();
        final EndpointConnection second = acquired();
        release(first);
        mPart = 1;
        release(second);
        assertThat(onLoop(mConnections::openByService)).isEqualTo(Map.of(List.of(SERVICE), 1));
        mPart = 0;
        onLoop(
                () -> {
                    mConnections.closeBeyondLimit();
                    return true;
                });
        assertThat(onLoop(mConnections::openByService)).isEqualTo(Map.of(List.of(SERVICE), 0));
    }

    // Guards against a crash that is none: the endpoint resets a connection beyond its limit, and
    // the check of whether it is up opens one more.
    @Test
    void endpointThatResetsOnlyNewConnectionsIsUp() throws Exception {
        acquired();
        mAccepted.add(mServer.accept());
        mNow = mNow.plusMillis(1);
        final CompletableFuture<String> outcome = probe();
        reset(mServer.accept());
        assertThat(outcome).succeedsWithin(TIMEOUT_SECONDS, TimeUnit.SECONDS).isEqualTo(ACCEPTED);
    }

    @Test
    void endpointThatEndsAllConnectionsIsDown() throws Exception {
        acquired();
        final Socket earlier = mServer.accept();
        mNow = mNow.plusMillis(1);
        final CompletableFuture<String> outcome = probe();
        reset(earlier);
        reset(mServer.accept());
        assertThat(outcome)
                .succeedsWithin(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .isEqualTo(ConnectFailure.ENDPOINT.name());
    }

    private CompletableFuture<String> probe() {
        final CompletableFuture<String> outcome = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        mConnections.probe(
                                mEndpoint,
                                () -> outcome.complete(ACCEPTED),
                                failure -> outcome.complete(failure.name())));
        return outcome;
    }

    private static void reset(final Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
