package org.whinhead.gateway.endpoint;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.whinhead.serving.endpoint.EndpointEntry;

/** The connection pools of the endpoints, by endpoint id. */
public final class EndpointConnections {

    /** The time for which an idle connection is kept if its endpoint states none. */
    static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(5);

    /** The time before the endpoint's idle timeout in which a connection is no longer used. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

    /** Endpoints of the same region accept within a few milliseconds, unreachable ones never. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final EventLoop mLoop;
    private final InstantSource mClock;
    private final EndpointProtocol mProtocol;
    private final ConnectionLogger mLogger;
    private final InetAddress mLocalAddress;
    private final Map<String, Pool> mPools = new HashMap<>();

    /**
     * Creates pools without connections.
     *
     * @param loop the event loop on which all work runs
     * @param clock the monotonic clock
     * @param protocol decodes the responses of endpoints
     * @param logger logs and counts the connects
     * @param localAddress the address of this VM, which endpoints see as the sender's
     */
    public EndpointConnections(
            final EventLoop loop,
            final InstantSource clock,
            final EndpointProtocol protocol,
            final ConnectionLogger logger,
            final InetAddress localAddress) {
        mLoop = loop;
        mClock = clock;
        mProtocol = protocol;
        mLogger = logger;
        mLocalAddress = localAddress;
    }

    /**
     * Acquires a connection to an endpoint: an idle one if possible, else a new one.
     *
     * @param endpoint the endpoint
     * @param opened receives the connection
     * @param failed called if no connection can be made
     */
    public void acquire(
            final EndpointEntry endpoint,
            final Consumer<EndpointConnection> opened,
            final Runnable failed) {
        final Pool pool = mPools.computeIfAbsent(endpoint.id(), id -> new Pool());
        final EndpointConnection idle = pool.acquireIdle(mClock.instant());
        if (idle == null) {
            connect(endpoint, pool, opened, failed);
        } else {
            opened.accept(idle);
        }
    }

    private void connect(
            final EndpointEntry endpoint,
            final Pool pool,
            final Consumer<EndpointConnection> opened,
            final Runnable failed) {
        final Instant startedAt = mClock.instant();
        final EndpointConnection connection = new EndpointConnection(mProtocol, pool, mClock);
        final ChannelFuture future =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(new PipelineInitializer(connection))
                        .connect(endpoint.address(), new InetSocketAddress(mLocalAddress, 0));
        connection.setChannel(future.channel());
        pool.mOpen.add(connection);
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        mLogger.connected();
                        opened.accept(connection);
                    } else {
                        final Duration taken = Duration.between(startedAt, mClock.instant());
                        mLogger.connectFailed(endpoint, taken, done.cause());
                        pool.remove(connection);
                        failed.run();
                    }
                });
    }

    /**
     * Closes the idle connections to endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retainEndpoints(final Collection<String> known) {
        mPools.entrySet()
                .removeIf(
                        entry -> {
                            if (known.contains(entry.getKey())) {
                                return false;
                            }
                            entry.getValue().closeIdle();
                            return entry.getValue().mOpen.isEmpty();
                        });
    }

    /**
     * Closes all connections to an endpoint that has restarted under the same id; requests on them
     * may have run.
     *
     * @param endpoint the endpoint's id
     */
    public void endpointRestarted(final String endpoint) {
        final Pool pool = mPools.remove(endpoint);
        if (pool != null) {
            pool.closeIdle();
            Set.copyOf(pool.mOpen).forEach(EndpointConnection::endpointRestarted);
        }
    }

    private static final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final EndpointConnection mConnection;

        private PipelineInitializer(final EndpointConnection connection) {
            mConnection = connection;
        }

        @Override
        protected void initChannel(final SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec(new HttpDecoderConfig(), false, false))
                    .addLast(mConnection);
        }
    }

    /** The connections to one endpoint. */
    final class Pool {
        private final Deque<IdleConnection> mIdle = new ArrayDeque<>();
        private final Set<EndpointConnection> mOpen = new HashSet<>();

        private EndpointConnection acquireIdle(final Instant now) {
            IdleConnection idle = mIdle.pollFirst();
            while (idle != null) {
                if (idle.mConnection.isUsable() && now.isBefore(idle.mUsableUntil)) {
                    return idle.mConnection;
                }
                idle.mConnection.cancel();
                idle = mIdle.pollFirst();
            }
            return null;
        }

        void release(final EndpointConnection connection) {
            if (!connection.isUsable()) {
                return;
            }
            final Duration usableFor = connection.idleTimeout().minus(IDLE_MARGIN);
            mIdle.addFirst(new IdleConnection(connection, mClock.instant().plus(usableFor)));
        }

        void remove(final EndpointConnection connection) {
            mOpen.remove(connection);
            mIdle.removeIf(idle -> idle.mConnection == connection);
        }

        private void closeIdle() {
            for (final IdleConnection idle : java.util.List.copyOf(mIdle)) {
                idle.mConnection.cancel();
            }
            mIdle.clear();
        }
    }

    private static final class IdleConnection {
        private final EndpointConnection mConnection;
        private final Instant mUsableUntil;

        private IdleConnection(final EndpointConnection connection, final Instant until) {
            mConnection = connection;
            mUsableUntil = until;
        }
    }
}
