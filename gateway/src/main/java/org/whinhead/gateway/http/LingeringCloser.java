package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Closes connections in stages (RFC 9112, section 9.6).
 *
 * <p>A connection that is closed while bytes of the other side are unread is reset by the system,
 * and the other side may lose a response that it has not read yet. So the output is shut down
 * first, and input is read and discarded until the other side closes. The time and the bytes of
 * each connection and the number of connections are bounded; the oldest one is closed for a new
 * one, so that other sides that never close take few file descriptors.
 */
public final class LingeringCloser {

    /** The time after which a connection is closed although the other side has not closed it. */
    public static final Duration MAX_TIME = Duration.ofSeconds(5);

    /** The discarded bytes after which a connection is closed. */
    public static final long MAX_BYTES = 16L * 1024 * 1024;

    /** The connections that linger at once. */
    public static final int MAX_CONNECTIONS = 512;

    private final Duration mMaxTime;
    private final Set<Channel> mChannels = new LinkedHashSet<>();

    /** Creates a closer without connections. */
    public LingeringCloser() {
        this(MAX_TIME);
    }

    /**
     * Creates a closer without connections.
     *
     * @param maxTime the time after which a connection is closed although the other side has not
     *     closed it
     */
    public LingeringCloser(final Duration maxTime) {
        mMaxTime = maxTime;
    }

    /**
     * Closes a connection whose last byte was handed to the system. Must be called on its event
     * loop.
     *
     * @param channel the connection; closed at once if it can't be half-closed
     */
    public void close(final Channel channel) {
        if (!(channel instanceof DuplexChannel duplex) || !channel.isActive()) {
            channel.close();
            return;
        }
        if (!mChannels.add(channel)) {
            return;
        }
        if (mChannels.size() > MAX_CONNECTIONS) {
            closeOldest();
        }
        channel.pipeline().addFirst(new Discarder());
        duplex.shutdownOutput()
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                channel.close();
                            }
                        });
        channel.config().setAutoRead(true);
    }

    /**
     * Returns the number of connections whose other side has not closed them yet.
     *
     * @return the number of connections
     */
    public int connectionCount() {
        return mChannels.size();
    }

    private void closeOldest() {
        final Iterator<Channel> channels = mChannels.iterator();
        final Channel oldest = channels.next();
        channels.remove();
        oldest.close();
    }

    private final class Discarder extends ChannelInboundHandlerAdapter {
        private Future<?> mTimer;
        private long mDiscardedBytes;

        @Override
        public void handlerAdded(final ChannelHandlerContext context) {
            mTimer =
                    context.executor()
                            .schedule(
                                    () -> context.close(),
                                    mMaxTime.toMillis(),
                                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            mDiscardedBytes += ((ByteBuf) message).readableBytes();
            ReferenceCountUtil.release(message);
            if (mDiscardedBytes > MAX_BYTES) {
                context.close();
            }
        }

        // The handlers behind this one are done with the connection.
        @Override
        public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
            ReferenceCountUtil.release(event);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            context.close();
        }

        @Override
        public void channelInactive(final ChannelHandlerContext context) {
            mTimer.cancel(false);
            mChannels.remove(context.channel());
            context.fireChannelInactive();
        }
    }
}
