package org.whinhead.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class EventLoopHttpClientTest {

    private static final int CONNECTIONS = 3;

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private final AtomicInteger mAccepted = new AtomicInteger();
    private final CountDownLatch mFirstRequests = new CountDownLatch(CONNECTIONS);
    private final ServerSocket mServer;
    private EventLoopHttpClient mClient;
    private volatile int mFirstAnsweringConnection;
    private volatile String mExtra = "";
    private final CountDownLatch mReset = new CountDownLatch(1);

    EventLoopHttpClientTest() throws IOException {
        mServer = new ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress());
        mClient = new EventLoopHttpClient(mLoop, address());
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mServer.getLocalPort());
    }

    private EventLoopHttpClient client(final int maxIdleConnections) {
        return new EventLoopHttpClient(
                mLoop,
                address(),
                (handlers, opened, failed) ->
                        EventLoopHttpClient.connect(
                                mLoop, address(), handlers.get(), opened, failed),
                1024,
                maxIdleConnections);
    }

    @BeforeEach
    void startServer() {
        startThread(
                () -> {
                    while (true) {
                        final Socket connection = mServer.accept();
                        final int number = mAccepted.getAndIncrement();
                        startThread(() -> serve(connection, number));
                    }
                });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void startThread(final Task task) {
        final Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The test has closed the socket.
                                Thread.currentThread().interrupt();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Answers each request, unless the connection has gone silent. */
    private void serve(final Socket connection, final int number) throws IOException {
        final BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                connection.getInputStream(), StandardCharsets.US_ASCII));
        for (String line = readLine(reader); line != null; line = readLine(reader)) {
            if (line.isEmpty() && number >= mFirstAnsweringConnection) {
                mFirstRequests.countDown();
                awaitFirstRequests();
                connection
                        .getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + mExtra)
                                        .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private String readLine(final BufferedReader reader) throws IOException {
        try {
            return reader.readLine();
        } catch (SocketException e) {
            mReset.countDown();
            throw e;
        }
    }

    /** Waits until the first calls use a connection each. */
    private void awaitFirstRequests() {
        try {
            mFirstRequests.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @AfterEach
    void close() throws IOException {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        mServer.close();
    }

    private CompletableFuture<HttpReply> call(final Duration timeout) {
        final CompletableFuture<HttpReply> result = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        mClient.call(
                                        OutboundRequest.builder(HttpMethod.GET, "/")
                                                .timeout(timeout)
                                                .build())
                                .whenComplete(
                                        (reply, failure) -> {
                                            if (failure == null) {
                                                result.complete(reply);
                                            } else {
                                                result.completeExceptionally(failure);
                                            }
                                        }));
        return result;
    }

    // Guards against seconds without the store: its open connections have gone silent, and each
    // call
    // would wait for its timeout on the next one although new connections work.
    @Test
    void callAfterTimeoutUsesNewConnection() throws Exception {
        final List<CompletableFuture<HttpReply>> first = new ArrayList<>();
        for (int index = 0; index < CONNECTIONS; index++) {
            first.add(call(Duration.ofSeconds(20)));
        }
        for (final CompletableFuture<HttpReply> reply : first) {
            assertThat(reply.get().isSuccess()).isTrue();
        }
        mFirstAnsweringConnection = CONNECTIONS;

        assertThat(call(Duration.ofMillis(200))).failsWithin(Duration.ofSeconds(10));
        assertThat(call(Duration.ofSeconds(5)).get().isSuccess()).isTrue();
        assertThat(mAccepted).hasValue(CONNECTIONS + 1);
    }

    // Guards against a call that receives the response to the call before: the begin of a second
    // response was left over on the connection.
    @Test
    void connectionWithBytesLeftOverIsNotUsedAgain() throws Exception {
        mFirstRequests.countDown();
        mFirstRequests.countDown();
        mExtra = "HTTP/1.1 500 Err";
        assertThat(call(Duration.ofSeconds(20)).get().status()).isEqualTo(200);
        assertThat(call(Duration.ofSeconds(20)).get().status()).isEqualTo(200);
        assertThat(mAccepted).hasValue(2);
    }

    // Guards against a call to an endpoint that receives a late second response to the call before,
    // as responses don't name their calls.
    @Test
    void clientWithoutIdleConnectionsOpensOneForEachCall() throws Exception {
        mFirstRequests.countDown();
        mFirstRequests.countDown();
        mClient = client(EventLoopHttpClient.NO_IDLE_CONNECTIONS);
        for (int call = 1; call <= CONNECTIONS; call++) {
            assertThat(call(Duration.ofSeconds(20)).get().isSuccess()).isTrue();
            assertThat(mAccepted).hasValue(call);
        }
    }

    // Guards against an order of a former holder of the lease that is carried out after those of
    // the next one: it was given up during a cut, and the system sent it once the cut was over.
    @Test
    void connectionOfCallWithoutResponseIsReset() throws Exception {
        mFirstAnsweringConnection = 1;
        assertThat(call(Duration.ofMillis(200))).failsWithin(Duration.ofSeconds(10));
        assertThat(mReset.await(10, TimeUnit.SECONDS)).isTrue();
    }
}
