package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.Consumer;
import org.whinhead.gateway.http.ResponsePipeline;

/** Sends a health check on a new connection and closes it after the response. */
final class HealthProbe extends ChannelInitializer<Channel> {

    private final HttpRequest mRequest;
    private final Consumer<HttpResponse> mOnAnswered;

    /**
     * Creates a probe.
     *
     * @param request the health check
     * @param onAnswered receives the head of the response, whatever its status
     */
    HealthProbe(final HttpRequest request, final Consumer<HttpResponse> onAnswered) {
        mRequest = request;
        mOnAnswered = onAnswered;
    }

    @Override
    protected void initChannel(final Channel channel) {
        ResponsePipeline.addTo(channel.pipeline(), () -> true);
        channel.pipeline().addLast(new ResponseHandler());
    }

    /** Sends the health check on an open connection. */
    void send(final Channel channel) {
        channel.write(mRequest);
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private final class ResponseHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            try {
                if (message instanceof HttpResponse response
                        && response.decoderResult().isSuccess()) {
                    mOnAnswered.accept(response);
                    context.close();
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            // A lost connection or an endless head is no answer, which the timeout of the check
            // shows.
            context.close();
        }
    }
}
