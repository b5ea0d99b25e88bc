package org.whinhead.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.http.ConnectionExceptions;

/** The endpoint's side of a connection that this daemon relays. */
final class RelayEndpointHandler extends SimpleChannelInboundHandler<ByteBuf> {

    private static final Logger LOG = LoggerFactory.getLogger(RelayEndpointHandler.class);

    private final RelayServerHandler mAsking;
    private boolean mInputEnded;
    private boolean mReset;

    RelayEndpointHandler(final RelayServerHandler asking) {
        mAsking = asking;
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final ByteBuf bytes) {
        boolean writable = true;
        while (bytes.isReadable()) {
            writable = mAsking.send(RelayMessageCodec.nextData(bytes));
        }
        if (!writable) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            mAsking.endpointWritable();
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        mReset = true;
        ConnectionExceptions.log(LOG, "relayed endpoint", cause);
        context.close();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        // A write that fails closes the connection without an exception.
        mAsking.end(RelayMessageCodec.end(mInputEnded && !mReset));
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            // An endpoint that closes before it has read the request resets the connection.
            mInputEnded = context.channel().unsafe().outboundBuffer().isEmpty();
            context.close();
        }
    }
}
