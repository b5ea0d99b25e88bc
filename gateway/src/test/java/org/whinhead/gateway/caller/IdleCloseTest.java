package org.whinhead.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.whinhead.serving.configuration.CallerLimits;

/** Guards against requests that are dropped as a stopping process closes idle connections. */
@Timeout(30)
class IdleCloseTest {

    private static final CallerLimits LIMITS =
            new CallerLimits(512, 64, Duration.ofSeconds(3), Duration.ofSeconds(15));
    private static final Duration UNTIL_CLOSE = Duration.ofMillis(200);
    private static final String SLOW = "/slow";

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private final CountDownLatch mLoopStands = new CountDownLatch(1);
    private final CountDownLatch mRequestSent = new CountDownLatch(1);
    private final CallerHttpServer mServer =
            new CallerHttpServer(mLoop, IdleCloseTest::decode, this::serve, () -> LIMITS);

    private static CallerRequest decode(final HttpRequest head) {
        return CallerRequest.builder()
                .id("r")
                .call(head.method(), "h", head.uri())
                .forwardedHeaders(new DefaultHttpHeaders())
                .build();
    }

    private CallerRequestHandler.ActiveRequest serve(
            final CallerRequest request, final ByteBuf body, final CallerResponse response) {
        body.release();
        if (request.path().equals(SLOW)) {
            standStill();
        }
        response.refuse(RefusalResponse.notRun("read", Duration.ZERO));
        return new CallerRequestHandler.ActiveRequest() {
            @Override
            public void callerDisconnected() {}

            @Override
            public void callerCaughtUp() {}
        };
    }

    /** Keeps the loop from its other connections until the time of the close is over. */
    private void standStill() {
        mLoopStands.countDown();
        try {
            mRequestSent.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        LockSupport.parkNanos(UNTIL_CLOSE.multipliedBy(2).toNanos());
    }

    @AfterEach
    void close() {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void requestThatArrivesWhileTheLoopStandsStillIsRead() throws Exception {
        final InetSocketAddress address = freeAddress();
        mLoop.submit(() -> mServer.listen(address)).get();
        while (!mLoop.submit(mServer::isListening).get()) {
            Thread.onSpinWait();
        }
        try (Socket idle = new Socket(address.getAddress(), address.getPort());
                Socket slow = new Socket(address.getAddress(), address.getPort())) {
            send(idle, "/first");
            assertThat(receive(idle)).startsWith("HTTP/1.1 503");
            mLoop.schedule(mServer::drainAfterRead, UNTIL_CLOSE.toMillis(), TimeUnit.MILLISECONDS);
            send(slow, SLOW);
            mLoopStands.await();
            send(idle, "/second");
            mRequestSent.countDown();
            assertThat(receive(idle)).startsWith("HTTP/1.1 503");
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
    }

    private static void send(final Socket connection, final String path) throws IOException {
        final String request = "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
        connection.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /** Returns what is read next; empty if the connection has ended. */
    private static String receive(final Socket connection) throws IOException {
        final byte[] bytes = new byte[4096];
        final int length = connection.getInputStream().read(bytes);
        return new String(bytes, 0, Math.max(length, 0), StandardCharsets.US_ASCII);
    }
}
