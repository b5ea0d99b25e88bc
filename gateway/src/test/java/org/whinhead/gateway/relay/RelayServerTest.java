package org.whinhead.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.generated.GatewayProto.RelayMessage;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Relay;

class RelayServerTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final int TIMEOUT_SECONDS = 10;
    private static final int RESET_ROUNDS = 40;
    private static final Duration FILL_TIME = Duration.ofMillis(300);
    private static final int ASKS_PER_ROUND = 50_000;
    private static final int SMALL_BUFFER_BYTES = 4_096;
    private static final int RESPONSE_BYTES = 1_000_000;
    private static final int PART_BYTES = 32 * 1024;
    private static final int PARTS = 64;

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();
    private volatile boolean mIsMember = true;
    private ServerSocket mEndpoint;
    private RelayServer mServer;
    private Relay mRelay;
    private Channel mChannel;

    @BeforeEach
    void listen() throws Exception {
        mEndpoint = new ServerSocket(0, 50, LOOPBACK);
        final int port;
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            port = free.getLocalPort();
        }
        mServer =
                onLoop(
                        () -> {
                            final RelayServer server =
                                    new RelayServer(
                                            mLoop,
                                            LOOPBACK,
                                            this::findEndpoint,
                                            address -> mIsMember);
                            server.listen(new InetSocketAddress(LOOPBACK, port));
                            return server;
                        });
        mRelay = new Relay("a2", "domain-a", new InetSocketAddress(LOOPBACK, port));
        // The port is bound by a task of its own.
        onLoop(mServer::connectionCount);
    }

    @AfterEach
    void close() throws IOException {
        mEndpoint.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Optional<EndpointEntry> findEndpoint(final String id) {
        final InetSocketAddress address = new InetSocketAddress(LOOPBACK, mEndpoint.getLocalPort());
        return id.equals("e-1")
                ? Optional.of(EndpointEntry.builder(id, "pool", address, "domain-a").build())
                : Optional.empty();
    }

    private <T> T onLoop(final Callable<T> task) throws Exception {
        return mLoop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void open(final String endpoint) throws Exception {
        final RelayListener listener =
                new RelayListener() {
                    @Override
                    public void connected(final Channel channel) {
                        mEvents.add("connected");
                    }

                    @Override
                    public void failed(final RelayFailure failure) {
                        mEvents.add(failure.name());
                    }
                };
        final RelayClient client = new RelayClient(mLoop, LOOPBACK);
        mChannel =
                onLoop(() -> client.open(mRelay, endpoint, new EventRecorder(mEvents), listener));
    }

    private String nextEvent() throws InterruptedException {
        return mEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void write(final String text) {
        mChannel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private static String read(final Socket socket, final int length) throws IOException {
        return new String(socket.getInputStream().readNBytes(length), StandardCharsets.US_ASCII);
    }

    @Test
    void bytesPassBothWaysUntilTheEndpointCloses() throws Exception {
        open("e-1");
        try (Socket endpoint = mEndpoint.accept()) {
            assertThat(nextEvent()).isEqualTo("connected");
            final String ask = "ask".repeat(100_000);
            write(ask);
            assertThat(read(endpoint, ask.length())).isEqualTo(ask);
            endpoint.getOutputStream().write("answer".getBytes(StandardCharsets.US_ASCII));
            assertThat(nextEvent()).isEqualTo("read answer");
            assertThat(onLoop(mServer::connectionCount)).isEqualTo(1);
        }
        assertThat(nextEvent()).isEqualTo("event ChannelInputShutdownEvent");
        assertThat(nextEvent()).isEqualTo("inactive");
    }

    @Test
    void resetByTheEndpointIsPassedOn() throws Exception {
        open("e-1");
        try (Socket endpoint = mEndpoint.accept()) {
            assertThat(nextEvent()).isEqualTo("connected");
            endpoint.setSoLinger(true, 0);
        }
        assertThat(nextEvent()).isEqualTo("IOException");
        assertThat(nextEvent()).isEqualTo("inactive");
    }

    // Guards against work that goes on at an endpoint after the caller has left: the daemon that
    // asked closes its connection to the relay.
    @Test
    void closedConnectionIsClosedAtTheEndpoint() throws Exception {
        open("e-1");
        try (Socket endpoint = mEndpoint.accept()) {
            assertThat(nextEvent()).isEqualTo("connected");
            mChannel.close();
            assertThat(endpoint.getInputStream().read()).isEqualTo(-1);
        }
        assertThat(onLoop(mServer::connectionCount)).isZero();
    }

    @Test
    void endpointThatIsDownOrUnknownIsNotReached() throws Exception {
        open("e-2");
        assertThat(nextEvent()).isEqualTo("ENDPOINT_NOT_REACHED");
        mEndpoint.close();
        open("e-1");
        assertThat(nextEvent()).isEqualTo("ENDPOINT_NOT_REACHED");
        assertThat(onLoop(mServer::connectionCount)).isZero();
    }

    // Guards against a daemon that is cut off leading others astray, which are cut off as well.
    @Test
    void requestIsDeniedIfThisDaemonMayNotReachTheEndpoint() throws Exception {
        mServer.relayOnly(endpoint -> !endpoint.id().equals("e-1"), endpoint -> {});
        open("e-1");
        assertThat(nextEvent()).isEqualTo("DENIED");
        assertThat(onLoop(mServer::connectionCount)).isZero();
    }

    @Test
    void failedConnectionIsReported() throws Exception {
        mServer.relayOnly(endpoint -> true, endpoint -> mEvents.add("not reached"));
        mEndpoint.close();
        open("e-1");
        assertThat(nextEvent()).isEqualTo("not reached");
        assertThat(nextEvent()).isEqualTo("ENDPOINT_NOT_REACHED");
    }

    // Guards against strangers that reach the endpoints through a daemon.
    @Test
    void senderThatIsNoDaemonIsDenied() throws Exception {
        mIsMember = false;
        open("e-1");
        assertThat(nextEvent()).isEqualTo("DENIED");
    }

    // Guards against a sender that was not asked who it is, and sends messages without end.
    @Test
    void messageBeforeTheRequestEndsTheConnection() throws Exception {
        final byte[] pause = RelayMessageCodec.pause(Duration.ofSeconds(1)).toByteArray();
        final ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + pause.length);
        frame.putInt(pause.length).put(pause);
        try (Socket sender = new Socket(LOOPBACK, mRelay.address().getPort())) {
            sender.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            sender.getOutputStream().write(frame.array());
            assertThat(sender.getInputStream().read()).isEqualTo(-1);
        }
    }

    // Guards against requests through a relay to an endpoint that has told the relay that it
    // leaves:
    // the daemon that asked must not use the connection for a further request.
    @Test
    void connectionToEndpointThatLeavesEndsWithItsRequest() throws Exception {
        open("e-1");
        try (Socket endpoint = mEndpoint.accept()) {
            assertThat(nextEvent()).isEqualTo("connected");
            onLoop(
                    () -> {
                        mServer.drain("e-2");
                        mServer.drain("e-1");
                        return null;
                    });
            assertThat(nextEvent()).isEqualTo("event RelayDrainEvent");
            endpoint.getOutputStream().write('x');
            assertThat(nextEvent()).isEqualTo("read x");
        }
    }

    // Guards against requests of the relay to an endpoint that has asked it for a pause in a
    // response to another daemon.
    @Test
    void relayHearsOfPauseThatItsEndpointAsksFor() throws Exception {
        final BlockingQueue<String> pauses = new LinkedBlockingQueue<>();
        mServer.onPause((endpoint, length) -> pauses.add(endpoint + " " + length.toMillis()));
        open("e-1");
        try (Socket endpoint = mEndpoint.accept()) {
            assertThat(nextEvent()).isEqualTo("connected");
            mChannel.writeAndFlush(new RelayPauseNotice(Duration.ofSeconds(3)));
            assertThat(pauses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("e-1 3000");
            mChannel.writeAndFlush(new RelayPauseNotice(Duration.ofDays(1)));
            assertThat(pauses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("e-1 3600000");
            write("ask");
            assertThat(read(endpoint, 3)).isEqualTo("ask");
        }
    }

    // Guards against requests that are cut by the planned stop of their relay: the daemon that
    // asked must not use the connection for a further request.
    @Test
    void relayThatStopsAnnouncesIt() throws Exception {
        open("e-1");
        try (Socket endpoint = mEndpoint.accept()) {
            assertThat(nextEvent()).isEqualTo("connected");
            onLoop(
                    () -> {
                        mServer.drain();
                        return null;
                    });
            assertThat(nextEvent()).isEqualTo("event RelayDrainEvent");
            endpoint.getOutputStream().write('x');
            assertThat(nextEvent()).isEqualTo("read x");
            open("e-1");
            assertThat(nextEvent()).isEqualTo("DENIED");
        }
    }

    // Guards against half of a response that counts as the whole one: the endpoint resets its
    // connection while the relay still writes the request, and the write fails before the read.
    @Test
    void resetWhileTheRequestIsWrittenIsNoEnd() throws Exception {
        for (int round = 0; round < RESET_ROUNDS; round++) {
            mEvents.clear();
            open("e-1");
            try (Socket endpoint = mEndpoint.accept()) {
                assertThat(nextEvent()).isEqualTo("connected");
                write("ask".repeat((round + 1) * ASKS_PER_ROUND));
                assertThat(read(endpoint, 3)).isEqualTo("ask");
                endpoint.getOutputStream().write("part".getBytes(StandardCharsets.US_ASCII));
                endpoint.setSoLinger(true, 0);
            }
            String event = nextEvent();
            final List<String> events = new ArrayList<>();
            while (!"inactive".equals(event)) {
                assertThat(event).as("event after " + events).isNotNull();
                events.add(event);
                event = nextEvent();
            }
            assertThat(events)
                    .doesNotContain("event ChannelInputShutdownEvent")
                    .containsAnyOf("IOException", "RelayLostException");
        }
    }

    // Guards against half of a response that counts as the whole one: the endpoint ends it, and
    // resets the connection, while the relay still writes the request.
    @Test
    void endWhileTheRequestIsWrittenIsNoEnd() throws Exception {
        mEndpoint.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        open("e-1");
        try (Socket endpoint = mEndpoint.accept()) {
            assertThat(nextEvent()).isEqualTo("connected");
            write("ask".repeat(RESET_ROUNDS * ASKS_PER_ROUND));
            assertThat(read(endpoint, 3)).isEqualTo("ask");
            // The buffers on the way are full then.
            LockSupport.parkNanos(FILL_TIME.toNanos());
            endpoint.getOutputStream().write("part".getBytes(StandardCharsets.US_ASCII));
            endpoint.shutdownOutput();
            final List<String> events = new ArrayList<>();
            for (String event = nextEvent(); !"inactive".equals(event); event = nextEvent()) {
                assertThat(event).as("event after " + events).isNotNull();
                events.add(event);
            }
            assertThat(events).doesNotContain("event ChannelInputShutdownEvent");
        }
    }

    // Guards against the end of a response that a reset destroys: the endpoint answers and closes
    // before it has read the request, of which the asking daemon still sends the rest.
    @Test
    void responseIsWholeAlthoughRequestIsStillSent() throws Exception {
        final int port = mRelay.address().getPort();
        try (Socket asking = new Socket()) {
            asking.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            asking.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            asking.connect(new InetSocketAddress(LOOPBACK, port));
            send(asking, RelayMessageCodec.request("e-1"));
            try (Socket endpoint = mEndpoint.accept()) {
                endpoint.getOutputStream().write(new byte[RESPONSE_BYTES]);
                endpoint.shutdownOutput();
                assertThat(endpoint.getInputStream().read()).isEqualTo(-1);
            }
            onLoop(mServer::connectionCount);
            final RelayMessage part =
                    RelayMessageCodec.nextData(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
            for (int index = 0; index < PARTS; index++) {
                send(asking, part);
            }
            int received = 0;
            RelayMessage message = receive(asking);
            while (!message.hasEnd()) {
                received += message.getData().size();
                message = receive(asking);
            }
            assertThat(received).isEqualTo(RESPONSE_BYTES);
            assertThat(message.getEnd().getClosed()).isTrue();
        }
    }

    // Guards against the end of a response that is lost: the rest of the request is read in the
    // same turn of the event loop in which the endpoint's close is.
    @Test
    void responseIsWholeAlthoughRequestIsReadTogetherWithItsEnd() throws Exception {
        try (Socket asking = new Socket()) {
            asking.setSoTimeout(TIMEOUT_SECONDS * 1_000);
            asking.connect(mRelay.address());
            send(asking, RelayMessageCodec.request("e-1"));
            final CountDownLatch bothSent = new CountDownLatch(1);
            try (Socket endpoint = mEndpoint.accept()) {
                assertThat(receive(asking).hasOutcome()).isTrue();
                endpoint.getOutputStream().write(new byte[PARTS]);
                assertThat(receive(asking).getData().size()).isEqualTo(PARTS);
                mLoop.execute(() -> awaitQuietly(bothSent));
                endpoint.shutdownOutput();
                for (int index = 0; index < PARTS; index++) {
                    send(asking, RelayMessageCodec.nextData(Unpooled.wrappedBuffer(new byte[1])));
                }
                bothSent.countDown();
                assertThat(receive(asking).getEnd().getClosed()).isTrue();
            }
        }
    }

    private static void awaitQuietly(final CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void send(final Socket socket, final RelayMessage message) throws IOException {
        final byte[] bytes = message.toByteArray();
        final ByteBuffer frame = ByteBuffer.allocate(Integer.BYTES + bytes.length);
        frame.putInt(bytes.length).put(bytes);
        socket.getOutputStream().write(frame.array());
    }

    private static RelayMessage receive(final Socket socket) throws IOException {
        final int length = ByteBuffer.wrap(socket.getInputStream().readNBytes(4)).getInt();
        return RelayMessage.parseFrom(socket.getInputStream().readNBytes(length));
    }
}
