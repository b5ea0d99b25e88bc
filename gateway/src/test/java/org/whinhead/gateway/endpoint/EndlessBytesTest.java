package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.gateway.relay.RelayServer;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.reach.RelaySelector;

/** Checks relayed requests and health checks at an endpoint that sends without end. */
class EndlessBytesTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final int TIMEOUT_SECONDS = 10;
    private static final Duration CLOSE_TIME = Duration.ofMillis(500);
    private static final int BLOCK_BYTES = 32 * 1024;
    private static final String SERVICE = "pool";
    private static final HttpRequest REQUEST =
            new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/health");

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private final BlockingQueue<String> mOutcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Instant> mClosed = new LinkedBlockingQueue<>();
    private final MemberTable mMembers = new MemberTable(member("a1"));
    private final EndpointReach mReach = new EndpointReach();
    private final EndpointConnector mConnector =
            new EndpointConnector(
                    mLoop,
                    () -> NOW,
                    LOOPBACK,
                    mReach,
                    new RelaySelector(mMembers, new Random(1)),
                    new ConnectionLogger(new RequestMetrics()));
    private ServerSocket mEndpoint;

    private static Member member(final String name) {
        final InetSocketAddress address = new InetSocketAddress(LOOPBACK, 7600);
        return new Member(name, name + "-first", "domain-a", address, address);
    }

    private static EndpointEntry entry(final int port) {
        final InetSocketAddress address = new InetSocketAddress(LOOPBACK, port);
        return EndpointEntry.builder("e-1", SERVICE, address, "domain-a").build();
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            return free.getLocalPort();
        }
    }

    @BeforeEach
    void startRelay() throws Exception {
        mEndpoint = new ServerSocket(0, 50, LOOPBACK);
        final int port = freePort();
        final RelayServer relay =
                new RelayServer(
                        mLoop,
                        LOOPBACK,
                        id -> Optional.of(entry(mEndpoint.getLocalPort())),
                        address -> true);
        mLoop.submit(() -> relay.listen(new InetSocketAddress(LOOPBACK, port)))
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mMembers.recordReport(
                member("a2"), new MemberStatus(true, false, false, OptionalInt.of(port)), NOW);
    }

    @AfterEach
    void close() throws IOException {
        mEndpoint.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void sendWithoutEnd(final String begin, final String unit) {
        final Thread thread =
                new Thread(
                        () -> {
                            while (!mEndpoint.isClosed()) {
                                try (Socket connection = mEndpoint.accept()) {
                                    send(connection, begin, unit);
                                } catch (IOException e) {
                                    mClosed.add(Instant.now());
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void send(final Socket connection, final String begin, final String unit)
            throws IOException {
        // The bytes must follow the request, as those that nobody awaits are refused at once.
        connection.getInputStream().read();
        final OutputStream output = connection.getOutputStream();
        output.write(unescape(begin).getBytes(StandardCharsets.US_ASCII));
        final String text = unescape(unit);
        final byte[] block =
                text.repeat(BLOCK_BYTES / text.length()).getBytes(StandardCharsets.US_ASCII);
        while (true) {
            output.write(block);
        }
    }

    private static String unescape(final String text) {
        return text.replace("\\r", "\r").replace("\\n", "\n");
    }

    private void checkClosedSoon() throws Exception {
        final Instant verdictAt = Instant.now();
        assertThat(mClosed.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isNotNull()
                .isBefore(verdictAt.plus(CLOSE_TIME));
    }

    private final class Recorder implements EndpointResponseListener {
        @Override
        public void headReceived(final EndpointResponse response) {
            assertThat(response.status().code()).isEqualTo(200);
        }

        @Override
        public void bodyReceived(final ByteBuf bytes) {
            assertThat(bytes.isReadable()).isTrue();
        }

        @Override
        public void completed(final ResponseEnd end) {
            mOutcomes.add("completed");
        }

        @Override
        public void pathLost() {
            mOutcomes.add("path lost");
        }

        @Override
        public void failed(final EndpointFailure failure) {
            mOutcomes.add(failure.name());
        }
    }

    /** Sends a request; classes may be loaded beyond the time limit of the first connections. */
    private void sendRelayed(final EndpointConnections connections, final EndpointEntry endpoint) {
        connections.acquire(
                endpoint,
                connection -> connection.send(REQUEST, Unpooled.EMPTY_BUFFER, new Recorder()),
                failure -> sendRelayed(connections, endpoint));
    }

    // Guards against bytes that a relay forwards for ever: the endpoint's connection is the
    // relay's.
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 ', a, OVERLONG",
        "'HTTP/1.1 200 OK\\r\\n', 'X: aaaaaaaa\\r\\n', OVERLONG",
        "'', 'HTTP/1.1 103 Early Hints\\r\\n\\r\\n', OVERLONG",
        "'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n1;x=', a, OVERLONG",
        "'HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\nX: ', a, OVERLONG",
        "'HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok', '\\r\\n', completed",
        "'', '\\r\\n', OVERLONG",
    })
    void relayedRequestFailsAndBothConnectionsAreClosed(
            final String begin, final String unit, final String outcome) throws Exception {
        final EndpointConnections connections =
                new EndpointConnections(() -> NOW, new PlainProtocol(), mConnector, mReach);
        final EndpointEntry cutOff = entry(freePort());
        sendWithoutEnd(begin, unit);
        mLoop.execute(() -> sendRelayed(connections, cutOff));
        assertThat(mOutcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(outcome);
        checkClosedSoon();
    }

    // Guards against an endpoint that counts as reached although it answers no health check, and
    // against checks whose connections go on.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 a",
                "\\r\\n",
                "HTTP/1.1 103 Early Hints\\r\\n\\r\\n",
                "HTTP/1.1 200 OK\\r\\nX: aaaaaaaaaa"
            })
    void healthCheckIsNotAnsweredAndItsConnectionIsClosed(final String unit) throws Exception {
        final HealthProbe probe = new HealthProbe(REQUEST, response -> mOutcomes.add("answered"));
        sendWithoutEnd("", unit);
        final Channel channel =
                mLoop.submit(
                                () ->
                                        mConnector.connectDirectly(
                                                entry(mEndpoint.getLocalPort()),
                                                probe,
                                                probe::send,
                                                cause -> mOutcomes.add(cause.toString())))
                        .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(channel.closeFuture().await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        checkClosedSoon();
        assertThat(mOutcomes).isEmpty();
    }
}
