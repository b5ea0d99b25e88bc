package org.whinhead.gateway.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Closes a new connection whose first head doesn't arrive in time.
 *
 * <p>Callers that trickle a head hold a descriptor each; a few thousand of them would leave none
 * for others. The guard leaves the pipeline once a head was decoded.
 */
final class HeaderTimeoutHandler extends ChannelInboundHandlerAdapter {

    private final Duration mTimeout;
    private Future<?> mTimer;

    HeaderTimeoutHandler(final Duration timeout) {
        mTimeout = timeout;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (mTimer == null) {
            mTimer =
                    context.executor()
                            .schedule(
                                    () -> closeWithoutRequest(context),
                                    mTimeout.toMillis(),
                                    TimeUnit.MILLISECONDS);
        }
        context.fireChannelRead(message);
    }

    private void closeWithoutRequest(final ChannelHandlerContext context) {
        final CallerConnection connection = context.pipeline().get(CallerConnection.class);
        if (connection != null && connection.hasSeenRequest()) {
            context.pipeline().remove(this);
        } else {
            context.close();
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        context.fireChannelInactive();
    }
}
