package org.whinhead.gateway.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.http.LingeringCloser;
import org.whinhead.gateway.http.ListeningPort;
import org.whinhead.gateway.http.ReadSizes;
import org.whinhead.serving.configuration.CallerLimits;

/** The HTTP server for callers, which tracks their connections. */
public final class CallerHttpServer {

    private static final Logger LOG = LoggerFactory.getLogger(CallerHttpServer.class);
    private static final int BACKLOG = 1_024;

    /** Half of the direct memory of a daemon. */
    private static final long MAX_BODY_BYTES = 48L * 1024 * 1024;

    /** A quarter of the direct memory of a daemon; the rest is for reads and responses. */
    private static final long MAX_SHORT_BODY_BYTES = 24L * 1024 * 1024;

    /** The writes to a caller that are sent together at the end of a turn of the event loop. */
    private static final int MAX_WRITES_PER_FLUSH = 256;

    /** Lets the event loop read once. */
    private static final Duration READ_DELAY = Duration.ofMillis(1);

    private final EventLoop mLoop;
    private final CallerProtocol mProtocol;
    private final CallerRequestHandler mHandler;
    private final Supplier<CallerLimits> mLimits;
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private final LingeringCloser mCloser = new LingeringCloser();
    private final RequestBodyBudget mBodies =
            new RequestBodyBudget(MAX_BODY_BYTES, MAX_SHORT_BODY_BYTES);
    private ListeningPort mPort;
    private boolean mStopping;
    private boolean mRefusingIncomplete;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the event loop on which all work runs
     * @param protocol decodes requests
     * @param handler serves requests
     * @param limits returns the limits in force
     */
    public CallerHttpServer(
            final EventLoop loop,
            final CallerProtocol protocol,
            final CallerRequestHandler handler,
            final Supplier<CallerLimits> limits) {
        mLoop = loop;
        mProtocol = protocol;
        mHandler = handler;
        mLimits = limits;
    }

    /**
     * Starts to accept connections.
     *
     * @param address the address to listen at
     */
    public void listen(final InetSocketAddress address) {
        mPort = new ListeningPort(mLoop, bootstrap(), address);
    }

    ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                .childHandler(new PipelineInitializer());
    }

    /**
     * Returns whether callers can connect.
     *
     * @return true while the port is open
     */
    public boolean isListening() {
        return mPort != null && mPort.isOpen();
    }

    /**
     * Closes idle connections as soon as their responses are sent, and each other one after its
     * current response.
     */
    public void drain() {
        mStopping = true;
        List.copyOf(mConnections).forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Does the same as {@link #drain} once the event loop has read what has arrived. If the loop
     * stood still until now, that holds requests on connections which seem to be idle.
     */
    public void drainAfterRead() {
        // A task without a delay runs before the next read.
        mLoop.schedule(this::drain, READ_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Refuses each request whose body is still being received, now or later, as not run: status
     * 503, Retry-After 0 and Connection: close. Its caller gets a whole response in place of a cut
     * connection, and may send the request to another daemon at once. Called after {@link #drain}
     * and shortly before the process ends, early enough for the responses to be read.
     */
    public void refuseIncompleteRequests() {
        mRefusingIncomplete = true;
        List.copyOf(mConnections).forEach(CallerConnection::refuseIfIncomplete);
    }

    /** Stops accepting connections. */
    public void stopAccepting() {
        mPort.close();
    }

    /**
     * Returns the number of connections that owe something to their callers: a request is received,
     * queued or served, or bytes of a response have not been handed to the system. Connections that
     * only wait for their callers to close them are not counted, as the system delivers what it was
     * handed after the process has ended; one that was refused within its body is counted for some
     * tenths of a second more, since the end of the process resets it.
     *
     * @return the number of busy connections
     */
    public int busyConnectionCount() {
        return (int) mConnections.stream().filter(CallerConnection::isBusy).count();
    }

    /** Logs the connections that have responses to send, as the process ends. */
    public void logUnfinished() {
        mConnections.forEach(connection -> connection.logUnfinished("the process ends"));
    }

    boolean isStopping() {
        return mStopping;
    }

    boolean isRefusingIncomplete() {
        return mRefusingIncomplete;
    }

    CallerProtocol protocol() {
        return mProtocol;
    }

    CallerRequestHandler handler() {
        return mHandler;
    }

    CallerLimits limits() {
        return mLimits.get();
    }

    RequestBodyBudget bodies() {
        return mBodies;
    }

    LingeringCloser closer() {
        return mCloser;
    }

    void connectionOpened(final CallerConnection connection) {
        mConnections.add(connection);
    }

    void connectionClosed(final CallerConnection connection) {
        mConnections.remove(connection);
    }

    void logUnreadRefusal(final RefusalResponse refusal) {
        LOG.atInfo()
                .addKeyValue("status", refusal.status().code())
                .addKeyValue("reason", refusal.reason())
                .log("request refused before it was read");
    }

    private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(final SocketChannel channel) {
            addHandlers(channel.pipeline());
        }
    }

    /** Adds the handlers of a caller's connection. */
    void addHandlers(final ChannelPipeline pipeline) {
        final CallerLimits limits = limits();
        final long idleMillis = limits.idleTimeout().toMillis();
        pipeline.addLast(new FlushConsolidationHandler(MAX_WRITES_PER_FLUSH, true))
                .addLast(new IdleStateHandler(0, 0, idleMillis, TimeUnit.MILLISECONDS))
                .addLast(new HeaderTimeoutHandler(limits.headerTimeout()))
                .addLast(new StrictRequestDecoder(limits.maxHeaderBytes()))
                .addLast(new HttpResponseEncoder())
                .addLast(new CallerConnection(this));
    }
}
