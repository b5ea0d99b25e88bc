package org.whinhead.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import org.whinhead.gateway.generated.GatewayProto.RelayEnd;
import org.whinhead.gateway.generated.GatewayProto.RelayMessage;
import org.whinhead.gateway.generated.GatewayProto.RelayOutcome;

/**
 * The asking side of a relayed connection: lets the handlers behind it see the bytes of the
 * endpoint as if they were connected to it.
 *
 * <p>A response without a length ends with its connection. So the end of the connection to the
 * relay counts as the endpoint's only if the relay has said so; otherwise the relay may have been
 * killed, and the handlers see the loss of the connection.
 */
final class RelayClientHandler extends ChannelDuplexHandler {

    private final String mRelay;
    private final String mEndpoint;
    private final ChannelHandler mHandler;
    private final RelayListener mListener;
    private boolean mConnected;
    private boolean mFailed;
    private boolean mEnded;
    private boolean mDraining;

    RelayClientHandler(
            final String relay,
            final String endpoint,
            final ChannelHandler handler,
            final RelayListener listener) {
        mRelay = relay;
        mEndpoint = endpoint;
        mHandler = handler;
        mListener = listener;
    }

    /** Reports that the connection is not relayed, unless an outcome was reported before. */
    void fail(final RelayFailure failure) {
        if (!mConnected && !mFailed) {
            mFailed = true;
            mListener.failed(failure);
        }
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
        context.writeAndFlush(RelayMessageCodec.request(mEndpoint));
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        final RelayMessage received = (RelayMessage) message;
        switch (received.getContentCase()) {
            case OUTCOME -> handleOutcome(context, received.getOutcome());
            case DATA -> context.fireChannelRead(RelayMessageCodec.data(received));
            case END -> handleEnd(context, received.getEnd());
            case DRAIN -> drain(context);
            default -> context.close();
        }
    }

    private void drain(final ChannelHandlerContext context) {
        mDraining = true;
        context.fireUserEventTriggered(RelayDrainEvent.INSTANCE);
    }

    private void handleOutcome(final ChannelHandlerContext context, final RelayOutcome outcome) {
        if (mConnected || mFailed) {
            context.close();
            return;
        }
        if (outcome == RelayOutcome.CONNECTED) {
            mConnected = true;
            context.pipeline().addLast(mHandler);
            mListener.connected(context.channel());
            if (mDraining) {
                context.fireUserEventTriggered(RelayDrainEvent.INSTANCE);
            }
            return;
        }
        fail(
                outcome == RelayOutcome.ENDPOINT_NOT_REACHED
                        ? RelayFailure.ENDPOINT_NOT_REACHED
                        : RelayFailure.DENIED);
        context.close();
    }

    private void handleEnd(final ChannelHandlerContext context, final RelayEnd end) {
        mEnded = true;
        if (end.getClosed()) {
            context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        } else {
            context.fireExceptionCaught(new IOException("endpoint reset the connection"));
        }
        context.close();
    }

    @Override
    public void write(
            final ChannelHandlerContext context,
            final Object message,
            final ChannelPromise promise) {
        if (message instanceof RelayPauseNotice notice) {
            context.write(RelayMessageCodec.pause(notice.length()), promise);
            return;
        }
        if (!(message instanceof ByteBuf bytes)) {
            context.write(message, promise);
            return;
        }
        try {
            while (bytes.isReadable()) {
                final RelayMessage data = RelayMessageCodec.nextData(bytes);
                if (bytes.isReadable()) {
                    context.write(data);
                } else {
                    context.write(data, promise);
                    return;
                }
            }
            promise.setSuccess();
        } finally {
            ReferenceCountUtil.release(bytes);
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        fail(RelayFailure.NOT_RELAYED);
        if (mConnected && !mEnded) {
            mEnded = true;
            context.fireExceptionCaught(new RelayLostException(mRelay));
        }
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        if (cause instanceof IOException && mConnected && !mEnded) {
            mEnded = true;
            context.fireExceptionCaught(new RelayLostException(mRelay));
        } else if (mConnected) {
            context.fireExceptionCaught(cause);
        }
        context.close();
    }
}
