package org.whinhead.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Tells the decoder which request the next response answers, and keeps handlers behind it from
 * reading more while it is behind.
 */
final class RequestMethodHandler extends ChannelOutboundHandlerAdapter {

    private final ResponseDecoder mDecoder;

    RequestMethodHandler(final ResponseDecoder decoder) {
        mDecoder = decoder;
    }

    @Override
    public void write(
            final ChannelHandlerContext context,
            final Object message,
            final ChannelPromise promise) {
        if (message instanceof HttpRequest request) {
            mDecoder.requestSent(request.method());
        }
        context.write(message, promise);
    }

    @Override
    public void read(final ChannelHandlerContext context) {
        if (!mDecoder.isBehind()) {
            context.read();
        }
    }
}
