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

/** Open connections to endpoints, kept by the endpoint's incarnation. */
public final class EndpointConnections {

    /** How long an idle connection is kept if its endpoint doesn't say. */
    static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(5);

    /** A connection is not used for this long before its endpoint would close it. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

    /** Endpoints of the same region answer in a few milliseconds; one that is dark never does. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final EventLoop mLoop;
    private final InstantSource mClock;
    private final EndpointProtocol mProtocol;
    private final Map<String, Pool> mPools = new HashMap<>();

    /**
     * Makes a set without connections.
     *
     * @param loop where everything runs
     * @param clock the steady clock
     * @param protocol how endpoints are spoken to
     */
    public EndpointConnections(
            final EventLoop loop, final InstantSource clock, final EndpointProtocol protocol) {
        mLoop = loop;
        mClock = clock;
        mProtocol = protocol;
    }

    /**
     * Gets a connection, an idle one if there is one.
     *
     * @param endpoint the endpoint
     * @param opened gets the connection
     * @param failed is called if none can be made
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
        final EndpointConnection connection = new EndpointConnection(mProtocol, pool);
        final ChannelFuture future =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(new PipelineInitializer(connection))
                        .connect(endpoint.address());
        connection.setChannel(future.channel());
        pool.mOpen.add(connection);
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        opened.accept(connection);
                    } else {
                        pool.remove(connection);
                        failed.run();
                    }
                });
    }

    /**
     * Closes the idle connections to endpoints that are gone.
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
     * Closes all connections to an endpoint that has started again under its id; requests on them
     * may have run.
     *
     * @param endpoint its id
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
            final Duration kept = connection.idleTimeout().minus(IDLE_MARGIN);
            mIdle.addFirst(new IdleConnection(connection, mClock.instant().plus(kept)));
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
