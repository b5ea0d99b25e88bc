package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/**
 * Limits the bytes from which the decoder behind it makes no message.
 *
 * <p>The decoder skips blank lines before a head without a limit, also while no response is
 * awaited. Bytes that precede the request of a connection that is used again would be taken for the
 * start of its response.
 */
final class UndecodedByteLimit extends ChannelInboundHandlerAdapter {

    /** More than the longest head; the decoder limits its parts. */
    private static final int MAX_BYTES = 16 * 1024;

    private final ResponseProgress mProgress;
    private final BooleanSupplier mAwaited;

    UndecodedByteLimit(final ResponseProgress progress, final BooleanSupplier awaited) {
        mProgress = progress;
        mAwaited = awaited;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (mProgress.isFailed()) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (!mAwaited.getAsBoolean()) {
            ReferenceCountUtil.release(message);
            fail(context, OverlongPart.AFTER_RESPONSE);
            return;
        }
        mProgress.bytesReceived(((ByteBuf) message).readableBytes());
        context.fireChannelRead(message);
        if (!mProgress.isFailed()
                && !mProgress.reading().isDecoderBehind()
                && mProgress.undecodedBytes() > MAX_BYTES) {
            fail(
                    context,
                    mProgress.isInBody() ? OverlongPart.CHUNK_LINE : OverlongPart.BEFORE_HEAD);
        }
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            // The decoder behind ends a response without a length as it gets this event.
            mProgress.inputEnded();
        }
        context.fireUserEventTriggered(event);
    }

    private void fail(final ChannelHandlerContext context, final OverlongPart part) {
        mProgress.fail();
        context.fireExceptionCaught(new OverlongResponseException(part));
    }
}
