package org.whinhead.gateway.http;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A port that accepts connections or datagrams. If it can't be opened, for example because a
 * previous daemon still holds it, it is tried again until it is open.
 */
public final class ListeningPort {

    private static final Logger LOG = LoggerFactory.getLogger(ListeningPort.class);

    /** The delay before a failed attempt to open the port is repeated. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final EventLoop mLoop;
    private final AbstractBootstrap<?, ?> mBootstrap;
    private final InetSocketAddress mAddress;
    private Channel mChannel;
    private boolean mClosed;

    /**
     * Starts to open a port. Must be called on the event loop.
     *
     * @param loop the event loop of the connections
     * @param bootstrap the channel type, options and handlers of the connections
     * @param address the address to listen at
     */
    public ListeningPort(
            final EventLoop loop,
            final AbstractBootstrap<?, ?> bootstrap,
            final InetSocketAddress address) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mBootstrap = bootstrap.group(loop);
        mAddress = Objects.requireNonNull(address, "address");
        open();
    }

    private void open() {
        if (!mClosed) {
            final ChannelFuture bound = mBootstrap.bind(mAddress);
            mChannel = bound.channel();
            bound.addListener(done -> handleBound(done.cause()));
        }
    }

    private void handleBound(final Throwable failure) {
        if (failure != null && !mClosed) {
            LOG.atError()
                    .addKeyValue("address", mAddress)
                    .addKeyValue("cause", failure.toString())
                    .addKeyValue("retryMillis", RETRY_DELAY.toMillis())
                    .log("port not opened");
            mLoop.schedule(this::open, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Returns whether the port accepts connections.
     *
     * @return true from the time it is open until it is closed
     */
    public boolean isOpen() {
        return mChannel.isActive();
    }

    /**
     * Returns the channel of the port.
     *
     * @return the channel; replaced by another one after a failed attempt to open the port
     */
    public Channel channel() {
        return mChannel;
    }

    /** Stops accepting connections; those that are open stay. */
    public void close() {
        mClosed = true;
        mChannel.close();
    }
}
