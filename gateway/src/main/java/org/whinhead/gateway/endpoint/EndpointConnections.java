package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinhead.gateway.http.OverlongPart;
import org.whinhead.gateway.http.ResponsePipeline;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.reach.AccessPath;
import org.whinhead.serving.reach.EndpointReach;

/** The connection pools of the endpoints, by endpoint id. */
public final class EndpointConnections {

    /** The time for which an idle connection is kept if its endpoint states none. */
    static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(5);

    /** The time before the endpoint's idle timeout in which a connection is no longer used. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

    /**
     * The time for which a connection must stay open that shows that an endpoint is up. A process
     * that ends may close its port some milliseconds after its connections.
     */
    private static final int PROBE_MILLIS = 25;

    private final InstantSource mClock;
    private final EndpointProtocol mProtocol;
    private final EndpointConnector mConnector;
    private final EndpointReach mReach;
    private final Map<String, Pool> mPools = new HashMap<>();
    private final Map<String, Instant> mReceivedAt = new HashMap<>();

    /**
     * Creates pools without connections.
     *
     * @param clock the monotonic clock
     * @param protocol decodes the responses of endpoints
     * @param connector opens the connections
     * @param reach which endpoints are reached directly
     */
    public EndpointConnections(
            final InstantSource clock,
            final EndpointProtocol protocol,
            final EndpointConnector connector,
            final EndpointReach reach) {
        mClock = clock;
        mProtocol = protocol;
        mConnector = connector;
        mReach = reach;
    }

    /**
     * Acquires a connection to an endpoint: an idle one if possible, else a new one.
     *
     * @param endpoint the endpoint
     * @param opened receives the connection
     * @param failed receives the reason if no connection can be made
     */
    public void acquire(
            final EndpointEntry endpoint,
            final Consumer<EndpointConnection> opened,
            final Consumer<ConnectFailure> failed) {
        final AccessPath path = mReach.pathTo(endpoint.id(), endpoint.service());
        final EndpointConnection idle = pool(endpoint).acquireIdle(path, mClock.instant());
        if (idle == null) {
            connect(endpoint, opened, failed);
        } else {
            opened.accept(idle);
        }
    }

    private Pool pool(final EndpointEntry endpoint) {
        return mPools.computeIfAbsent(
                endpoint.id(), id -> new Pool(endpoint.id(), endpoint.service()));
    }

    /**
     * Finds out whether an endpoint accepts another connection and keeps it open for a moment. The
     * connection is kept for a later request.
     *
     * @param endpoint the endpoint
     * @param accepted runs if it does
     * @param failed receives the reason if no connection can be made
     */
    public void probe(
            final EndpointEntry endpoint,
            final Runnable accepted,
            final Consumer<ConnectFailure> failed) {
        connect(
                endpoint,
                connection ->
                        connection
                                .channel()
                                .eventLoop()
                                .schedule(
                                        () -> settled(connection, accepted, failed),
                                        PROBE_MILLIS,
                                        TimeUnit.MILLISECONDS),
                failed);
    }

    private static void settled(
            final EndpointConnection connection,
            final Runnable accepted,
            final Consumer<ConnectFailure> failed) {
        if (connection.isUsable()) {
            connection.release();
            accepted.run();
        } else if (connection.isOverlong()) {
            accepted.run();
        } else {
            failed.accept(ConnectFailure.ENDPOINT);
        }
    }

    private void connect(
            final EndpointEntry endpoint,
            final Consumer<EndpointConnection> opened,
            final Consumer<ConnectFailure> failed) {
        mConnector.connect(
                endpoint,
                () -> new PipelineInitializer(pool(endpoint)),
                new ConnectListener() {
                    @Override
                    public void connected(final Channel channel, final AccessPath path) {
                        final EndpointConnection connection =
                                channel.pipeline().get(EndpointConnection.class);
                        connection.opened(path);
                        opened.accept(connection);
                    }

                    @Override
                    public void failed(final ConnectFailure failure) {
                        failed.accept(failure);
                    }
                });
    }

    /**
     * Returns the direct connections on which a response is awaited.
     *
     * @return the connections
     */
    List<EndpointConnection> waitingDirectly() {
        return mPools.values().stream()
                .flatMap(pool -> pool.mOpen.stream())
                .filter(connection -> connection.path() == AccessPath.DIRECT)
                .filter(connection -> connection.waitingSince().isPresent())
                .toList();
    }

    /**
     * Returns when anything was last received on a direct connection to any endpoint of a service.
     *
     * @param service the service
     * @return the time; the epoch if nothing was ever received
     */
    Instant receivedAt(final String service) {
        return mReceivedAt.getOrDefault(service, Instant.EPOCH);
    }

    /**
     * Closes the idle connections to endpoints that no longer exist.
     *
     * @param known the ids of all endpoints
     */
    public void retainEndpoints(final Collection<String> known) {
        mReach.retain(known);
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

    private final class PipelineInitializer extends ChannelInitializer<Channel> {
        private final Pool mPool;

        private PipelineInitializer(final Pool pool) {
            mPool = pool;
        }

        @Override
        protected void initChannel(final Channel channel) {
            final EndpointConnection connection = new EndpointConnection(mProtocol, mPool, mClock);
            connection.setProgress(
                    ResponsePipeline.addTo(channel.pipeline(), connection::isAwaiting));
            channel.pipeline().addLast(connection);
        }
    }

    /** The connections to one endpoint. */
    final class Pool {
        private final String mEndpoint;
        private final String mService;
        private final Deque<IdleConnection> mIdle = new ArrayDeque<>();
        private final Set<EndpointConnection> mOpen = new HashSet<>();
        private Instant mPoolReceivedAt = Instant.EPOCH;

        Pool(final String endpoint, final String service) {
            mEndpoint = endpoint;
            mService = service;
        }

        /** Returns an idle connection on a way, and closes those on the other one. */
        private EndpointConnection acquireIdle(final AccessPath path, final Instant now) {
            IdleConnection idle = mIdle.pollFirst();
            while (idle != null) {
                if (idle.mConnection.isUsable()
                        && idle.mConnection.path() == path
                        && now.isBefore(idle.mUsableUntil)) {
                    return idle.mConnection;
                }
                idle.mConnection.cancel();
                idle = mIdle.pollFirst();
            }
            return null;
        }

        void add(final EndpointConnection connection) {
            mOpen.add(connection);
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

        String endpoint() {
            return mEndpoint;
        }

        String service() {
            return mService;
        }

        void received(final EndpointConnection connection, final Instant now) {
            if (connection.path() == AccessPath.DIRECT) {
                mReceivedAt.put(mService, now);
                mPoolReceivedAt = now;
            }
        }

        Instant receivedAt() {
            return mPoolReceivedAt;
        }

        /** Records the first response on a connection of its own. */
        void reachedDirectly() {
            mReach.recordDirect(mEndpoint, mService, mClock.instant());
        }

        /** Logs and counts bytes that are no response. */
        void overlong(final OverlongPart part) {
            mConnector.logger().overlong(mEndpoint, mService, part);
        }

        private void closeIdle() {
            for (final IdleConnection idle : List.copyOf(mIdle)) {
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
