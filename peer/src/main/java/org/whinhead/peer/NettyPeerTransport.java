package org.whinhead.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.VmId;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** A {@link PeerTransport} over TCP with one event loop; requires mutual TLS except on loopback. */
public final class NettyPeerTransport implements PeerTransport {

    private static final int LOW_WATER_MARK = 32 * 1024;
    private static final int HIGH_WATER_MARK = 128 * 1024;

    private final PeerSettings mSettings;
    private final PeerIdentity mSelf;
    private final RandomGenerator mRandom;
    private final PeerCounters mCounters;
    private final Optional<TlsSource> mTls;
    private final PendingReplies mReplies = new PendingReplies();
    private final MultiThreadIoEventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final ConnectionTable mConnections;
    private final LinkTable mLinks;
    private Channel mServer;

    /**
     * Creates a transport that can send; {@link #listen} accepts connections.
     *
     * @param settings the limits and timeouts
     * @param self the identity of the own daemon
     * @param tlsFiles the files for mutual TLS; without them only loopback addresses are allowed
     * @param clock the clock for certificate expiry and for the rate limit of the log
     * @param random the random generator for the jitter of the backoff
     * @param listener the receiver of messages
     * @throws PeerException if the TLS files cannot be read or don't match
     */
    public NettyPeerTransport(
            final PeerSettings settings,
            final PeerIdentity self,
            final Optional<PeerTlsFiles> tlsFiles,
            final InstantSource clock,
            final RandomGenerator random,
            final PeerListener listener)
            throws PeerException {
        mSettings = Objects.requireNonNull(settings, "settings");
        mSelf = Objects.requireNonNull(self, "self");
        mRandom = Objects.requireNonNull(random, "random");
        mCounters = new PeerCounters(clock);
        mTls =
                tlsFiles.isPresent()
                        ? Optional.of(new TlsSource(tlsFiles.get(), mCounters))
                        : Optional.empty();
        mGroup =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
        mLoop = mGroup.next();
        mLinks = new LinkTable(settings, mCounters);
        mConnections =
                new ConnectionTable(settings, clock, mReplies, mLinks, this::reply, listener);
    }

    /**
     * Starts to accept connections.
     *
     * @param address the address; port 0 selects any free port
     * @return the bound address with its port
     * @throws PeerException if the address cannot be bound, or is not loopback and there is no TLS
     */
    public InetSocketAddress listen(final InetSocketAddress address) throws PeerException {
        if (mTls.isEmpty() && !isLoopback(address)) {
            throw new PeerException("peers need TLS on an address that is not loopback");
        }
        final PeerPipeline pipeline =
                new PeerPipeline(
                        mSettings,
                        () -> mTls.map(tls -> tls.material().server()),
                        () -> connection(Optional.empty(), Optional.empty()));
        final ChannelFuture bound =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                        .childHandler(pipeline)
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException("cannot bind the peer address " + address, bound.cause());
        }
        mServer = bound.channel();
        return (InetSocketAddress) mServer.localAddress();
    }

    private PeerConnection connection(
            final Optional<VmId> dialed, final Optional<Envelope> firstMessage) {
        return new PeerConnection(mConnections, mCounters, mSelf, dialed, firstMessage);
    }

    private static boolean isLoopback(final InetSocketAddress address) {
        return !address.isUnresolved() && address.getAddress().isLoopbackAddress();
    }

    private static WriteBufferWaterMark waterMark() {
        return new WriteBufferWaterMark(LOW_WATER_MARK, HIGH_WATER_MARK);
    }

    @Override
    public void send(final DaemonAddress to, final Envelope message) {
        enqueue(mLinks.getOrCreate(to), message);
    }

    private void reply(final VmId to, final Envelope reply) {
        enqueue(mLinks.getOrCreate(to), reply);
    }

    private void enqueue(final PeerLink link, final Envelope message) {
        final int dropped = link.queue().add(message);
        if (dropped < 0) {
            runOnLoop(() -> closeNotReading(link));
            return;
        }
        mCounters.countDropped(dropped);
        if (link.tryScheduleFlush()) {
            runOnLoop(() -> flush(link));
        }
    }

    /**
     * Drops all replies to a peer that does not read them and closes its connection; single replies
     * are never dropped.
     */
    private void closeNotReading(final PeerLink link) {
        mLinks.dropReplies(link);
        mConnections
                .find(link.vm())
                .ifPresent(c -> c.refuse(PeerRefusal.NOT_READING, "the queue is full of replies"));
    }

    @Override
    public CompletableFuture<Envelope> request(
            final DaemonAddress to, final Envelope message, final Duration timeout) {
        final CompletableFuture<Envelope> reply = new CompletableFuture<>();
        final long correlation = mReplies.add(to.vm(), reply);
        final Runnable expire = () -> mReplies.fail(correlation, "no reply from " + to);
        if (!runOnLoop(() -> schedule(expire, timeout))) {
            mReplies.fail(correlation, "the transport is closed");
        }
        send(to, message.toBuilder().setCorrelation(correlation).build());
        return reply;
    }

    private void schedule(final Runnable task, final Duration delay) {
        mLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private boolean runOnLoop(final Runnable task) {
        try {
            mLoop.execute(task);
            return true;
        } catch (final RejectedExecutionException e) {
            // The transport is closed; any message may be lost, so this one may be too.
            return false;
        }
    }

    private void flush(final PeerLink link) {
        final Optional<PeerConnection> connection = mConnections.find(link.vm());
        if (connection.isPresent()) {
            link.flush(connection.get());
            return;
        }
        link.clearScheduledFlush();
        final Optional<DaemonAddress> address = link.address();
        if (address.isPresent() && !link.queue().isEmpty() && link.tryStartConnecting()) {
            connect(link, address.get());
        }
    }

    private void connect(final PeerLink link, final DaemonAddress address) {
        final InetSocketAddress target = new InetSocketAddress(address.host(), address.port());
        if (mTls.isEmpty() && !isLoopback(target)) {
            mCounters.countConnectFailure();
            retryAfterBackoff(link);
            return;
        }
        final PeerPipeline pipeline =
                new PeerPipeline(
                        mSettings,
                        () -> mTls.map(tls -> clientContext(tls)),
                        () -> connection(Optional.of(address.vm()), Optional.empty()));
        dial(target, pipeline)
                .addListener(connected -> handleConnectResult(link, (ChannelFuture) connected));
    }

    private ChannelFuture dial(final InetSocketAddress target, final PeerPipeline pipeline) {
        final int timeout = (int) mSettings.handshakeTimeout().toMillis();
        return new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeout)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
                .handler(pipeline)
                .connect(target);
    }

    /**
     * Connects once, without retry, to an address whose VM is not known. The peer must prove its
     * VM's identity like any other, within the handshake timeout.
     *
     * @param address the address
     * @param firstMessage the message to send after the handshake
     */
    public void connectToSeed(final InetSocketAddress address, final Envelope firstMessage) {
        if (mTls.isEmpty() && !isLoopback(address)) {
            mCounters.countConnectFailure();
            return;
        }
        final PeerPipeline pipeline =
                new PeerPipeline(
                        mSettings,
                        () -> mTls.map(NettyPeerTransport::clientContext),
                        () -> connection(Optional.empty(), Optional.of(firstMessage)));
        runOnLoop(() -> dial(address, pipeline).addListener(this::countSeedConnect));
    }

    private void countSeedConnect(final Future<?> connected) {
        if (connected.isSuccess()) {
            mCounters.countConnect();
        } else {
            mCounters.countConnectFailure();
        }
    }

    private static SslContext clientContext(final TlsSource tls) {
        return tls.material().client();
    }

    private void handleConnectResult(final PeerLink link, final ChannelFuture connected) {
        if (!connected.isSuccess()) {
            mCounters.countConnectFailure();
            retryAfterBackoff(link);
            return;
        }
        mCounters.countConnect();
        connected.channel().closeFuture().addListener(closed -> retryAfterBackoff(link));
    }

    private void retryAfterBackoff(final PeerLink link) {
        final Runnable retry =
                () -> {
                    link.endBackoff();
                    flush(link);
                };
        try {
            schedule(retry, link.nextBackoff(mRandom));
        } catch (final RejectedExecutionException e) {
            // The transport is closing and needs no new connections.
            return;
        }
    }

    @Override
    public void tick() {
        mTls.ifPresent(TlsSource::reload);
        runOnLoop(mConnections::closeExpired);
    }

    /**
     * Closes the connection to a VM that is gone and discards its queued messages.
     *
     * @param vm the VM
     */
    public void forget(final VmId vm) {
        mLinks.forget(vm);
        runOnLoop(() -> mConnections.find(vm).ifPresent(PeerConnection::close));
    }

    @Override
    public PeerCounters counters() {
        return mCounters;
    }

    @Override
    public void close() {
        if (mServer != null) {
            mServer.close();
        }
        runOnLoop(mConnections::closeAll);
        mReplies.failAll("the transport is closed");
        mGroup.shutdownGracefully(
                0, mSettings.handshakeTimeout().toMillis(), TimeUnit.MILLISECONDS);
    }
}
