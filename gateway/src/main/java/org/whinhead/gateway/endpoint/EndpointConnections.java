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
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.whinhead.gateway.http.DecodeQueue;
import org.whinhead.gateway.http.LeftOver;
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

    private final InstantSource mClock;
    private final EndpointProtocol mProtocol;
    private final EndpointConnector mConnector;
    private final EndpointReach mReach;
    private final DecodeQueue mDecodeQueue = new DecodeQueue();
    private final Map<String, Pool> mPools = new HashMap<>();
    private final Map<String, Instant> mReceivedAt = new HashMap<>();
    private ToIntFunction<String> mPartOfService = service -> Integer.MAX_VALUE;
    private Consumer<Pool> mOnNewConnectionLost = pool -> {};
    private boolean mLimited;

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
     * Limits the connections to each endpoint.
     *
     * @param partOfService returns the connections that this daemon may hold to one endpoint of a
     *     service
     */
    public void limitTo(final ToIntFunction<String> partOfService) {
        mPartOfService = partOfService;
        mLimited = true;
    }

    /**
     * Returns the endpoints to which a connection can be had.
     *
     * @param service the service of the endpoints
     * @param endpoints the endpoints
     * @return those with a usable idle connection, or to which another one may be opened
     */
    public List<EndpointEntry> withinLimit(
            final String service, final List<EndpointEntry> endpoints) {
        if (!mLimited) {
            return endpoints;
        }
        final int part = mPartOfService.applyAsInt(service);
        final Instant now = mClock.instant();
        final Set<String> full = new HashSet<>();
        for (final Pool pool : mPools.values()) {
            if (pool.held() >= part && pool.mService.equals(service) && !pool.hasRoom(part, now)) {
                full.add(pool.mEndpoint);
            }
        }
        return full.isEmpty()
                ? endpoints
                : endpoints.stream().filter(endpoint -> !full.contains(endpoint.id())).toList();
    }

    /**
     * Returns whether there is a usable idle connection to an endpoint.
     *
     * @param endpoint the endpoint's id
     * @return true if a request needs no new connection
     */
    public boolean hasIdle(final String endpoint) {
        final Pool pool = mPools.get(endpoint);
        return pool != null && pool.hasIdle(mClock.instant());
    }

    /**
     * Returns the connections, open and being opened, to the endpoints of each service.
     *
     * @return the numbers by the service's name, as the only tag
     */
    public Map<List<String>, Integer> openByService() {
        final Map<List<String>, Integer> open = new HashMap<>();
        mPools.values()
                .forEach(pool -> open.merge(List.of(pool.mService), pool.held(), Integer::sum));
        return open;
    }

    /**
     * Closes idle connections beyond this daemon's part, which shrinks as daemons are added; to be
     * called several times a second.
     */
    public void closeBeyondLimit() {
        if (mLimited) {
            mPools.values().forEach(Pool::closeBeyondLimit);
        }
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
        final Pool pool = pool(endpoint);
        final EndpointConnection idle = pool.acquireIdle(path, mClock.instant());
        if (idle != null) {
            opened.accept(idle);
        } else if (pool.held() < mPartOfService.applyAsInt(endpoint.service())) {
            connect(endpoint, opened, failed);
        } else {
            failed.accept(ConnectFailure.LIMIT);
        }
    }

    private Pool pool(final EndpointEntry endpoint) {
        return mPools.computeIfAbsent(
                endpoint.id(), id -> new Pool(endpoint.id(), endpoint.service()));
    }

    /**
     * Finds out whether an endpoint accepts another connection and keeps it open for a moment.
     *
     * @param endpoint the endpoint
     * @param accepted runs if it does
     * @param failed receives the reason if no connection can be made
     */
    public void probe(
            final EndpointEntry endpoint,
            final Runnable accepted,
            final Consumer<ConnectFailure> failed) {
        new EndpointProbe(this, endpoint, accepted, failed).start();
    }

    Instant now() {
        return mClock.instant();
    }

    boolean isLimited() {
        return mLimited;
    }

    /** Returns a usable connection to an endpoint that was opened before a time. */
    Optional<EndpointConnection> openedBefore(final EndpointEntry endpoint, final Instant time) {
        return pool(endpoint).openedBefore(time);
    }

    /**
     * Opens a connection through another daemon, whichever way is the usual one.
     *
     * @param endpoint the endpoint
     * @param opened receives the connection
     * @param notOpened runs if no daemon relays one
     */
    void connectThroughAnotherDaemon(
            final EndpointEntry endpoint,
            final Consumer<EndpointConnection> opened,
            final Runnable notOpened) {
        mConnector.connectRelayed(
                endpoint,
                () -> new PipelineInitializer(pool(endpoint)),
                new RelayedConnect.Listener() {
                    @Override
                    public void relayed(final Channel channel, final String relay) {
                        opened.accept(opened(channel, AccessPath.RELAYED));
                    }

                    @Override
                    public void notRelayed(final boolean endpointNotReached) {
                        notOpened.run();
                    }
                });
    }

    private static EndpointConnection opened(final Channel channel, final AccessPath path) {
        final EndpointConnection connection = channel.pipeline().get(EndpointConnection.class);
        connection.opened(path);
        return connection;
    }

    /**
     * Opens a connection, also one beyond this daemon's part.
     *
     * @param endpoint the endpoint
     * @param opened receives the connection
     * @param failed receives the reason if no connection can be made
     */
    void connect(
            final EndpointEntry endpoint,
            final Consumer<EndpointConnection> opened,
            final Consumer<ConnectFailure> failed) {
        final Pool pool = pool(endpoint);
        pool.mConnecting++;
        mConnector.connect(
                endpoint,
                () -> new PipelineInitializer(pool(endpoint)),
                new ConnectListener() {
                    @Override
                    public void connected(final Channel channel, final AccessPath path) {
                        pool.mConnecting--;
                        opened.accept(opened(channel, path));
                    }

                    @Override
                    public void failed(final ConnectFailure failure) {
                        pool.mConnecting--;
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
     * Sets the action after a direct connection was accepted and ended before its first response.
     *
     * @param onNewConnectionLost receives the pool of the connection
     */
    void onNewConnectionLost(final Consumer<Pool> onNewConnectionLost) {
        mOnNewConnectionLost = onNewConnectionLost;
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
                    ResponsePipeline.addTo(
                            channel.pipeline(), connection::isAwaiting, mDecodeQueue));
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
        private int mConnecting;

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
                close(idle.mConnection);
                idle = mIdle.pollFirst();
            }
            return null;
        }

        /** Closes an idle connection, which no longer counts at once. */
        private void close(final EndpointConnection connection) {
            mOpen.remove(connection);
            connection.cancel();
        }

        /** Returns the connections of this daemon, open and being opened. */
        private int held() {
            return mOpen.size() + mConnecting;
        }

        /**
         * Returns whether a connection can be had, once idle ones that are not usable are closed.
         */
        private boolean hasRoom(final int part, final Instant now) {
            return hasIdle(now) || held() - mIdle.size() < part;
        }

        /** Returns whether the connection that is used next is usable. */
        private boolean hasIdle(final Instant now) {
            final IdleConnection next = mIdle.peekFirst();
            return next != null
                    && next.mConnection.isUsable()
                    && now.isBefore(next.mUsableUntil)
                    && next.mConnection.path() == mReach.pathTo(mEndpoint, mService);
        }

        /** Returns a connection that was opened before a time and is still open. */
        private Optional<EndpointConnection> openedBefore(final Instant time) {
            return mOpen.stream()
                    .filter(EndpointConnection::isUsable)
                    .filter(connection -> connection.openedAt().isBefore(time))
                    .findAny();
        }

        private void closeBeyondLimit() {
            final int part = mPartOfService.applyAsInt(mService);
            while (held() > part && !mIdle.isEmpty()) {
                close(mIdle.pollLast().mConnection);
            }
        }

        void add(final EndpointConnection connection) {
            mOpen.add(connection);
        }

        void release(final EndpointConnection connection) {
            if (!connection.isUsable()) {
                return;
            }
            if (held() > mPartOfService.applyAsInt(mService)) {
                close(connection);
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

        /** Records a connection that ended before anything of its response was read. */
        void endedUnanswered(final EndpointConnection connection) {
            mConnector.logger().endedUnanswered(connection);
            if (connection.path() == AccessPath.DIRECT && connection.responses() == 0) {
                mReach.recordUnanswered(mEndpoint, mService, mClock.instant());
                mOnNewConnectionLost.accept(this);
            }
        }

        /** Logs and counts bytes that are no response. */
        void overlong(final EndpointConnection connection, final OverlongPart part) {
            mConnector.logger().overlong(connection, part);
        }

        /** Logs and counts bytes that came with the end of a response and don't belong to it. */
        void leftOver(
                final EndpointConnection connection, final LeftOver leftOver, final int bytes) {
            mConnector.logger().leftOver(connection, leftOver, bytes);
        }

        /** Logs and counts a head that contains another status line. */
        void headJoined(final EndpointConnection connection, final int status, final String place) {
            mConnector.logger().headJoined(connection, status, place);
        }

        /** Logs a second response to one request. */
        void answeredAgain(final EndpointConnection connection, final EndpointResponse head) {
            mConnector.logger().answeredAgain(connection, head);
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
