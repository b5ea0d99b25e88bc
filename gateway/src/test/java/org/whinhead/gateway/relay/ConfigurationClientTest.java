package org.whinhead.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.member.Relay;

class ConfigurationClientTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int TIMEOUT_SECONDS = 10;
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);
    private static final Duration PART_PAUSE = Duration.ofMillis(20);

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private volatile boolean mIsMember = true;
    private volatile Optional<ConfigurationCopy> mCopy = Optional.empty();
    private RelayServer mServer;
    private Relay mDaemon;

    @BeforeEach
    void listen() throws Exception {
        final int port;
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            port = free.getLocalPort();
        }
        mServer = new RelayServer(mLoop, LOOPBACK, id -> Optional.empty(), address -> mIsMember);
        mServer.shareConfiguration(() -> mCopy);
        mLoop.submit(() -> mServer.listen(new InetSocketAddress(LOOPBACK, port)))
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mDaemon = new Relay("a2", "domain-a", new InetSocketAddress(LOOPBACK, port));
    }

    @AfterEach
    void close() {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Optional<byte[]> fetch(final Relay daemon, final Duration timeout, final long version)
            throws Exception {
        final ConfigurationClient client = new ConfigurationClient(mLoop, LOOPBACK, timeout);
        final CompletableFuture<Optional<byte[]>> answer = new CompletableFuture<>();
        mLoop.execute(() -> client.fetch(daemon, version, answer::complete));
        return answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private Optional<byte[]> fetch(final long version) throws Exception {
        return fetch(mDaemon, Duration.ofSeconds(TIMEOUT_SECONDS), version);
    }

    @Test
    void recordOfManyPartsArrivesUnchanged() throws Exception {
        final byte[] value = new byte[300_001];
        new Random(1).nextBytes(value);
        mCopy = Optional.of(new ConfigurationCopy(9, value));
        assertThat(fetch(8)).hasValueSatisfying(got -> assertThat(got).isEqualTo(value));
    }

    @Test
    void sameOrOlderVersionIsNotSent() throws Exception {
        mCopy = Optional.of(new ConfigurationCopy(9, new byte[] {1}));
        assertThat(fetch(9)).isEmpty();
        assertThat(fetch(10)).isEmpty();
    }

    @Test
    void daemonWithoutConfigurationSendsNone() throws Exception {
        assertThat(fetch(0)).isEmpty();
    }

    @Test
    void addressOfNoDaemonGetsNothing() throws Exception {
        mCopy = Optional.of(new ConfigurationCopy(9, new byte[] {1}));
        mIsMember = false;
        assertThat(fetch(8)).isEmpty();
    }

    // Guards against a wait without end for a daemon that is silent.
    @Test
    void silentDaemonIsGivenUp() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, LOOPBACK)) {
            final Relay daemon =
                    new Relay("a3", "a", new InetSocketAddress(LOOPBACK, silent.getLocalPort()));
            assertThat(fetch(daemon, SHORT_TIMEOUT, 8)).isEmpty();
        }
    }

    @Test
    void daemonThatRefusesConnectionsIsGivenUp() throws Exception {
        final int port;
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            port = free.getLocalPort();
        }
        final Relay daemon = new Relay("a3", "a", new InetSocketAddress(LOOPBACK, port));
        assertThat(fetch(daemon, Duration.ofSeconds(TIMEOUT_SECONDS), 8)).isEmpty();
    }

    // Guards against a large configuration that no daemon can take from another one, as each is
    // asked by many at once.
    @Test
    void recordThatKeepsArrivingIsAwaited() throws Exception {
        final byte[] value = new byte[300_001];
        mCopy = Optional.of(new ConfigurationCopy(9, value));
        try (ServerSocket slow = new ServerSocket(0, 1, LOOPBACK)) {
            final Thread proxy = new Thread(() -> forwardSlowly(slow));
            proxy.setDaemon(true);
            proxy.start();
            final Relay daemon =
                    new Relay("a3", "a", new InetSocketAddress(LOOPBACK, slow.getLocalPort()));
            assertThat(fetch(daemon, Duration.ofMillis(500), 8)).isPresent();
        }
    }

    /** Forwards a request to the daemon, and its answer in parts with pauses. */
    private void forwardSlowly(final ServerSocket listener) {
        try (Socket asking = listener.accept();
                Socket daemon = new Socket(LOOPBACK, mDaemon.address().getPort())) {
            final byte[] bytes = new byte[5_000];
            final int request = asking.getInputStream().read(bytes);
            daemon.getOutputStream().write(bytes, 0, request);
            int length = daemon.getInputStream().read(bytes);
            while (length >= 0) {
                asking.getOutputStream().write(bytes, 0, length);
                LockSupport.parkNanos(PART_PAUSE.toNanos());
                length = daemon.getInputStream().read(bytes);
            }
        } catch (IOException e) {
            // The client has closed the connection.
            return;
        }
    }
}
