package org.whinhead.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
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
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves small responses from memory: readiness, directory and metrics. */
public final class SimpleHttpServer {

    private static final Logger LOG = LoggerFactory.getLogger(SimpleHttpServer.class);

    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    /** The idle time after which a connection is closed. */
    private static final int IDLE_SECONDS = 30;

    private final EventLoop mLoop;
    private final Set<RequestHandler> mConnections = new HashSet<>();
    private final LingeringCloser mCloser = new LingeringCloser();
    private boolean mDraining;

    /**
     * Creates a server that does not listen yet.
     *
     * @param loop the event loop on which all work runs
     */
    public SimpleHttpServer(final EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Starts to listen at an address.
     *
     * @param address the address to listen at
     * @param contentType the content type of the responses
     * @param responder returns the response to a path and query
     * @return the port
     */
    public ListeningPort listen(
            final InetSocketAddress address,
            final String contentType,
            final Function<String, HttpReply> responder) {
        final ChannelInitializer<SocketChannel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(final SocketChannel channel) {
                        channel.pipeline()
                                .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
                                .addLast(new HttpServerCodec())
                                .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                .addLast(new RequestHandler(contentType, responder));
                    }
                };
        return new ListeningPort(
                mLoop,
                new ServerBootstrap()
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                        .childHandler(initializer),
                address);
    }

    /**
     * Closes idle connections, and each other one after its response. The ports stay open; later
     * responses close their connections. Called before the process ends, so that no connection is
     * cut on which a request may be sent.
     */
    public void drain() {
        mDraining = true;
        List.copyOf(mConnections).forEach(RequestHandler::closeIfSent);
    }

    /**
     * Returns the number of connections with responses that have not been handed to the system.
     *
     * @return the number of busy connections
     */
    public int busyConnectionCount() {
        return (int) mConnections.stream().filter(RequestHandler::isBusy).count();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final String mContentType;
        private final Function<String, HttpReply> mResponder;
        private ChannelHandlerContext mContext;
        private FullHttpResponse mPending;
        private int mUnsentResponses;
        private boolean mClosing;

        private RequestHandler(
                final String contentType, final Function<String, HttpReply> responder) {
            mContentType = contentType;
            mResponder = responder;
        }

        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final FullHttpRequest request) {
            if (mClosing) {
                return;
            }
            final HttpReply reply = mResponder.apply(request.uri());
            final FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(reply.status()),
                            Unpooled.wrappedBuffer(reply.body()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, mContentType);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            writePending(true);
            mPending = response;
            mClosing = !HttpUtil.isKeepAlive(request);
        }

        // Only the last response of what was read together may announce the close.
        @Override
        public void channelReadComplete(final ChannelHandlerContext context) {
            mClosing |= mDraining && mPending != null;
            writePending(!mClosing);
            context.flush();
        }

        private void writePending(final boolean isKeptAlive) {
            if (mPending == null) {
                return;
            }
            HttpUtil.setKeepAlive(mPending, isKeptAlive);
            mUnsentResponses++;
            mContext.write(mPending)
                    .addListener(
                            done -> {
                                mUnsentResponses--;
                                closeIfSent();
                            });
            mPending = null;
        }

        private boolean isBusy() {
            return mUnsentResponses > 0 || mPending != null;
        }

        private void closeIfSent() {
            if ((mClosing || mDraining) && !isBusy()) {
                mCloser.close(mContext.channel());
            }
        }

        // A client that takes no whole response within the idle time is given up.
        @Override
        public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
            if (event instanceof IdleStateEvent) {
                context.close();
            }
        }

        @Override
        public void handlerAdded(final ChannelHandlerContext context) {
            mContext = context;
            mConnections.add(this);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext context) {
            mConnections.remove(this);
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            ConnectionExceptions.log(LOG, "status", cause);
            context.close();
        }
    }
}
