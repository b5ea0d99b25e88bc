package org.whinhead.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** Records what the handlers behind a relayed connection see, as text. */
final class EventRecorder extends ChannelInboundHandlerAdapter {

    private final Collection<String> mEvents;

    EventRecorder(final Collection<String> events) {
        mEvents = events;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        final ByteBuf bytes = (ByteBuf) message;
        mEvents.add("read " + bytes.toString(StandardCharsets.US_ASCII));
        bytes.release();
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        mEvents.add("event " + event.getClass().getSimpleName());
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        mEvents.add(cause.getClass().getSimpleName());
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mEvents.add("inactive");
    }
}
