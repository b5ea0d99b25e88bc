package org.whinhead.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Answers small calls from memory: readiness, addresses, metrics. */
public final class SimpleHttpServer {

    private static final Logger LOG = LoggerFactory.getLogger(SimpleHttpServer.class);

    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    /** A connection without a call for this long is closed. */
    private static final int IDLE_SECONDS = 30;

    private final EventLoop mLoop;

    /**
     * Makes a server that listens nowhere yet.
     *
     * @param loop where everything runs
     */
    public SimpleHttpServer(final EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Starts to listen.
     *
     * @param address where
     * @param type the content type of the answers
     * @param answer makes the answer to a path and query
     * @return the listening channel
     */
    public Channel listen(
            final InetSocketAddress address,
            final String type,
            final Function<String, HttpReply> answer) {
        return new ServerBootstrap()
                .group(mLoop)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(final SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
                                        .addLast(new HttpServerCodec())
                                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                        .addLast(new RequestHandler(type, answer));
                            }
                        })
                .bind(address)
                .addListener(bound -> logFailure(address, bound.cause()))
                .channel();
    }

    /** A daemon whose port is taken goes on; without a line nobody would know why it is silent. */
    private static void logFailure(final InetSocketAddress address, final Throwable cause) {
        if (cause != null) {
            LOG.atError()
                    .addKeyValue("address", address)
                    .addKeyValue("cause", cause.toString())
                    .log("port not opened");
        }
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final String mType;
        private final Function<String, HttpReply> mAnswer;

        private RequestHandler(final String type, final Function<String, HttpReply> answer) {
            mType = type;
            mAnswer = answer;
        }

        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final FullHttpRequest request) {
            final HttpReply reply = mAnswer.apply(request.uri());
            final FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(reply.status()),
                            Unpooled.wrappedBuffer(reply.body()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, mType);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            final boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(response, keepAlive);
            final var written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
            context.close();
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            context.close();
        }
    }
}
