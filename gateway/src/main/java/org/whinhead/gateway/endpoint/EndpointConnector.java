package org.whinhead.gateway.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.whinhead.gateway.http.ReadSizes;
import org.whinhead.gateway.relay.RelayClient;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.reach.RelaySelector;

/** Opens connections to endpoints, directly or through other daemons. */
public final class EndpointConnector {

    /** Endpoints of the same region accept within a few milliseconds, unreachable ones never. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final EventLoop mLoop;
    private final InstantSource mClock;
    private final InetAddress mLocalAddress;
    private final EndpointReach mReach;
    private final RelaySelector mRelays;
    private final ConnectionLogger mLogger;
    private final RelayClient mRelayClient;

    /**
     * Creates a connector.
     *
     * @param loop the event loop on which all work runs
     * @param clock the monotonic clock
     * @param localAddress the address of this VM, which endpoints see as the sender's
     * @param reach which endpoints are reached directly
     * @param relays selects the daemons that relay connections
     * @param logger logs and counts the connects
     */
    public EndpointConnector(
            final EventLoop loop,
            final InstantSource clock,
            final InetAddress localAddress,
            final EndpointReach reach,
            final RelaySelector relays,
            final ConnectionLogger logger) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mClock = Objects.requireNonNull(clock, "clock");
        mLocalAddress = Objects.requireNonNull(localAddress, "localAddress");
        mReach = Objects.requireNonNull(reach, "reach");
        mRelays = Objects.requireNonNull(relays, "relays");
        mLogger = Objects.requireNonNull(logger, "logger");
        mRelayClient = new RelayClient(loop, localAddress);
    }

    /**
     * Opens a connection on the way that works.
     *
     * @param endpoint the endpoint
     * @param handlers creates the handler of a connection; called for each way that is tried
     * @param listener receives the outcome
     */
    void connect(
            final EndpointEntry endpoint,
            final Supplier<ChannelHandler> handlers,
            final ConnectListener listener) {
        new ConnectAttempt(this, endpoint, handlers, listener).start();
    }

    /**
     * Opens a direct connection.
     *
     * @param endpoint the endpoint
     * @param handler handles the connection
     * @param connected receives the open connection
     * @param failed receives the cause if it is not accepted in time
     * @return the connection; closing it cancels the attempt
     */
    Channel connectDirectly(
            final EndpointEntry endpoint,
            final ChannelHandler handler,
            final Consumer<Channel> connected,
            final Consumer<Throwable> failed) {
        final Instant startedAt = now();
        final ChannelFuture future =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .handler(handler)
                        .connect(endpoint.address(), new InetSocketAddress(mLocalAddress, 0));
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        mLogger.connected();
                        connected.accept(future.channel());
                    } else {
                        final Duration taken = Duration.between(startedAt, now());
                        mLogger.connectFailed(endpoint, taken, done.cause());
                        failed.accept(done.cause());
                    }
                });
        return future.channel();
    }

    /**
     * Asks other daemons, one after the other, to relay a connection.
     *
     * @param endpoint the endpoint
     * @param handlers creates the handler of a connection; called for each daemon that is asked
     * @param listener receives the outcome
     * @return the attempt, which can be cancelled
     */
    RelayedConnect connectRelayed(
            final EndpointEntry endpoint,
            final Supplier<ChannelHandler> handlers,
            final RelayedConnect.Listener listener) {
        final RelayedConnect attempt = new RelayedConnect(this, endpoint, handlers, listener);
        attempt.start();
        return attempt;
    }

    /**
     * Records that a new direct connection to an endpoint failed or got no response.
     *
     * @param endpoint the endpoint
     */
    public void recordUnanswered(final EndpointEntry endpoint) {
        mReach.recordUnanswered(endpoint.id(), endpoint.service(), now());
    }

    EndpointReach reach() {
        return mReach;
    }

    RelaySelector relays() {
        return mRelays;
    }

    RelayClient relayClient() {
        return mRelayClient;
    }

    ConnectionLogger logger() {
        return mLogger;
    }

    Instant now() {
        return mClock.instant();
    }

    Future<?> schedule(final Runnable task, final Duration delay) {
        return mLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
}
