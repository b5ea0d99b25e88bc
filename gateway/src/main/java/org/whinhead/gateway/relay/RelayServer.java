package org.whinhead.gateway.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.whinhead.gateway.http.LingeringCloser;
import org.whinhead.gateway.http.ListeningPort;
import org.whinhead.gateway.http.ReadSizes;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Relays connections to endpoints for daemons that don't reach them. */
public final class RelayServer {

    /** The most connections relayed at once; each takes two file descriptors. */
    private static final int MAX_CONNECTIONS = 400;

    /**
     * The time without any bytes after which a connection is closed: the asking daemon has lost
     * power, since it keeps idle connections for a shorter time.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    /**
     * The time that an asking daemon gets to close a connection after its last message; it closes
     * as soon as it has read it.
     */
    private static final Duration LINGER_TIME = Duration.ofSeconds(1);

    /** Other daemons take no longer pause from an endpoint. */
    private static final Duration MAX_PAUSE = Duration.ofHours(1);

    private final EventLoop mLoop;
    private final InetAddress mLocalAddress;
    private final Function<String, Optional<EndpointEntry>> mFindEndpoint;
    private final Predicate<InetAddress> mIsMember;
    private final Set<RelayServerHandler> mConnections = new HashSet<>();
    private final LingeringCloser mCloser = new LingeringCloser(LINGER_TIME);
    private Supplier<Optional<ConfigurationCopy>> mConfiguration = Optional::empty;
    private BiConsumer<String, Duration> mOnPause = (endpoint, length) -> {};
    private Predicate<EndpointEntry> mMayRelay = endpoint -> true;
    private Consumer<EndpointEntry> mOnNotReached = endpoint -> {};
    private ListeningPort mPort;
    private boolean mStopping;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the event loop on which all work runs
     * @param localAddress the address of this VM, which endpoints see as the sender's
     * @param findEndpoint finds an endpoint that may get requests by its id
     * @param isMember returns whether a daemon of this deployment has an address; others are denied
     */
    public RelayServer(
            final EventLoop loop,
            final InetAddress localAddress,
            final Function<String, Optional<EndpointEntry>> findEndpoint,
            final Predicate<InetAddress> isMember) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mLocalAddress = Objects.requireNonNull(localAddress, "localAddress");
        mFindEndpoint = Objects.requireNonNull(findEndpoint, "findEndpoint");
        mIsMember = Objects.requireNonNull(isMember, "isMember");
    }

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen at
     */
    public void listen(final InetSocketAddress address) {
        mPort =
                new ListeningPort(
                        mLoop,
                        new ServerBootstrap()
                                .channel(NioServerSocketChannel.class)
                                .childOption(ChannelOption.TCP_NODELAY, true)
                                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                                .childHandler(new PipelineInitializer()),
                        address);
    }

    /**
     * Sets the configuration that is sent to daemons that ask for it.
     *
     * @param configuration returns the configuration in force; empty before the first one
     */
    public void shareConfiguration(final Supplier<Optional<ConfigurationCopy>> configuration) {
        mConfiguration = Objects.requireNonNull(configuration, "configuration");
    }

    /**
     * Sets the handler of pauses for which endpoints have asked in responses that were relayed.
     *
     * @param onPause receives the endpoint's id and the length of the pause
     */
    public void onPause(final BiConsumer<String, Duration> onPause) {
        mOnPause = Objects.requireNonNull(onPause, "onPause");
    }

    /**
     * Sets to which endpoints connections are relayed; requests for others are denied.
     *
     * @param mayRelay returns whether this daemon reaches an endpoint itself, as far as it knows
     * @param onNotReached receives an endpoint to which a connection failed
     */
    public void relayOnly(
            final Predicate<EndpointEntry> mayRelay, final Consumer<EndpointEntry> onNotReached) {
        mMayRelay = Objects.requireNonNull(mayRelay, "mayRelay");
        mOnNotReached = Objects.requireNonNull(onNotReached, "onNotReached");
    }

    boolean mayRelay(final EndpointEntry endpoint) {
        return mMayRelay.test(endpoint);
    }

    void notReached(final EndpointEntry endpoint) {
        mOnNotReached.accept(endpoint);
    }

    void pauseRequested(final String endpoint, final long millis) {
        if (!endpoint.isEmpty() && millis > 0) {
            mOnPause.accept(endpoint, Duration.ofMillis(Math.min(millis, MAX_PAUSE.toMillis())));
        }
    }

    Optional<ConfigurationCopy> configuration() {
        return mConfiguration.get();
    }

    /** Denies new connections from now on; those that are open end with their current request. */
    public void drain() {
        mStopping = true;
        Set.copyOf(mConnections).forEach(connection -> connection.send(RelayMessageCodec.drain()));
    }

    /**
     * Lets the connections to an endpoint end with their current request, as it gets no others.
     *
     * @param endpoint the endpoint's id
     */
    public void drain(final String endpoint) {
        mConnections.stream()
                .filter(connection -> connection.leadsTo(endpoint))
                .forEach(connection -> connection.send(RelayMessageCodec.drain()));
    }

    /**
     * Returns the number of connections that are relayed now, until their last message is sent.
     *
     * @return the number of connections
     */
    public int connectionCount() {
        return mConnections.size();
    }

    boolean accepts(final InetSocketAddress sender) {
        return !mStopping
                && mConnections.size() < MAX_CONNECTIONS
                && mIsMember.test(sender.getAddress());
    }

    Optional<EndpointEntry> findEndpoint(final String id) {
        return mFindEndpoint.apply(id);
    }

    InetSocketAddress localAddress() {
        return new InetSocketAddress(mLocalAddress, 0);
    }

    LingeringCloser closer() {
        return mCloser;
    }

    void opened(final RelayServerHandler connection) {
        mConnections.add(connection);
    }

    void closed(final RelayServerHandler connection) {
        mConnections.remove(connection);
    }

    private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(final SocketChannel channel) {
            channel.pipeline()
                    .addLast(
                            new IdleStateHandler(
                                    0, 0, IDLE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
            RelayMessageCodec.addTo(channel.pipeline());
            channel.pipeline().addLast(new RelayServerHandler(RelayServer.this));
        }
    }
}
