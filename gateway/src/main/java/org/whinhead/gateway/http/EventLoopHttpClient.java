package org.whinhead.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP client for one server, in which each call in progress has its own connection.
 *
 * <p>A call that gets no response in time must not reach the server later, so its connection is
 * reset. A late response must not be received by a later call, so a call that fails or times out
 * closes its connection, and so do bytes that come with the end of a response and don't belong to
 * it. All work runs on one event loop, which also completes the futures.
 */
public final class EventLoopHttpClient {

    private static final Logger LOG = LoggerFactory.getLogger(EventLoopHttpClient.class);

    /** Opens a connection for each call. */
    public static final int NO_IDLE_CONNECTIONS = 0;

    /**
     * Makes the system reset a connection that is closed. Otherwise it would go on to send a call
     * that was given up, also after this process has ended: an order could be carried out after
     * those of the next holder of its lease.
     */
    private static final int RESET_ON_CLOSE = 0;

    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    private final EventLoop mLoop;
    private final InetSocketAddress mServer;
    private final ChannelOpener mOpener;
    private final int mMaxResponseBytes;
    private final int mMaxIdleConnections;
    private final Deque<Channel> mIdle = new ArrayDeque<>();

    /**
     * Creates a client without connections.
     *
     * @param loop the event loop on which all work runs
     * @param server the server's address
     */
    public EventLoopHttpClient(final EventLoop loop, final InetSocketAddress server) {
        this(
                loop,
                server,
                (handlers, opened, failed) -> connect(loop, server, handlers.get(), opened, failed),
                MAX_RESPONSE_BYTES,
                MAX_IDLE_CONNECTIONS);
    }

    /**
     * Creates a client without connections.
     *
     * @param loop the event loop on which all work runs
     * @param server the server's address, which requests name
     * @param opener opens connections to the server
     * @param maxResponseBytes the longest body of a response
     * @param maxIdleConnections the most connections that are kept for later calls; a server that
     *     may send a late second response that doesn't name its call must have none
     */
    public EventLoopHttpClient(
            final EventLoop loop,
            final InetSocketAddress server,
            final ChannelOpener opener,
            final int maxResponseBytes,
            final int maxIdleConnections) {
        mLoop = loop;
        mServer = server;
        mOpener = opener;
        mMaxResponseBytes = maxResponseBytes;
        mMaxIdleConnections = maxIdleConnections;
    }

    static void connect(
            final EventLoop loop,
            final InetSocketAddress server,
            final ChannelHandler handler,
            final Consumer<Channel> opened,
            final Consumer<String> failed) {
        final ChannelFuture future =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                        .option(ChannelOption.SO_LINGER, RESET_ON_CLOSE)
                        .handler(handler)
                        .connect(server);
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        opened.accept(future.channel());
                    } else {
                        failed.accept(done.cause().toString());
                    }
                });
    }

    /**
     * Starts a call. Must be called on the event loop.
     *
     * @param call the call
     * @return the response; the future fails with a {@link NoValidResponseException} if there is
     *     none in time
     */
    public CompletableFuture<HttpReply> call(final OutboundRequest call) {
        final PendingCall pending = new PendingCall(call);
        awaitResponse(pending, call.timeout());
        pending.mReply.whenComplete((reply, failure) -> pending.mTimer.cancel(false));
        final Channel idle = takeIdle();
        if (idle == null) {
            connect(pending);
        } else {
            send(idle, pending);
        }
        return pending.mReply;
    }

    /** Fails a call after its time limit unless its response has arrived, or goes on arriving. */
    private void awaitResponse(final PendingCall pending, final Duration passed) {
        final Duration timeout = pending.mCall.timeout();
        pending.mReceiving = false;
        pending.mTimer =
                mLoop.schedule(
                        () -> {
                            final boolean mayGoOn =
                                    passed.compareTo(pending.mCall.longestTransfer()) < 0;
                            if (pending.mReceiving && mayGoOn) {
                                awaitResponse(pending, passed.plus(timeout));
                            } else {
                                pending.fail("no response within " + passed.toMillis() + " ms");
                                closeIdle();
                            }
                        },
                        timeout.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private Channel takeIdle() {
        Channel channel = mIdle.pollFirst();
        while (channel != null && !channel.isActive()) {
            channel = mIdle.pollFirst();
        }
        return channel;
    }

    /**
     * Closes the idle connections. If one has gone silent, the others may have too, and each would
     * cost another call its timeout.
     */
    private void closeIdle() {
        mIdle.forEach(Channel::close);
        mIdle.clear();
    }

    private void connect(final PendingCall pending) {
        mOpener.open(
                PipelineInitializer::new,
                channel -> send(channel, pending),
                cause -> pending.fail("connect failed: " + cause));
    }

    private void send(final Channel channel, final PendingCall pending) {
        if (pending.mReply.isDone()) {
            channel.close();
            return;
        }
        pending.mChannel = channel;
        channel.pipeline().get(ResponseHandler.class).mPending = pending;
        channel.writeAndFlush(pending.request(mServer));
    }

    private final class PipelineInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(final Channel channel) {
            final ResponseHandler handler = new ResponseHandler();
            channel.pipeline().addLast(new ReceiptRecorder(handler));
            handler.mProgress =
                    ResponsePipeline.addTo(channel.pipeline(), () -> handler.mPending != null);
            channel.pipeline()
                    .addLast(new HttpObjectAggregator(mMaxResponseBytes))
                    .addLast(handler);
        }
    }

    private final class PendingCall {
        private final OutboundRequest mCall;
        private final CompletableFuture<HttpReply> mReply = new CompletableFuture<>();
        private Channel mChannel;
        private Future<?> mTimer;
        private boolean mReceiving;

        private PendingCall(final OutboundRequest call) {
            mCall = call;
        }

        private FullHttpRequest request(final InetSocketAddress server) {
            final FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            mCall.method(),
                            mCall.target(),
                            Unpooled.wrappedBuffer(mCall.body()));
            mCall.headers().forEach(request.headers()::set);
            request.headers()
                    .set(
                            HttpHeaderNames.HOST,
                            server.getAddress().getHostAddress() + ":" + server.getPort());
            HttpUtil.setContentLength(request, request.content().readableBytes());
            return request;
        }

        private void succeed(final HttpReply reply, final boolean keepAlive) {
            if (keepAlive && mIdle.size() < mMaxIdleConnections) {
                mIdle.addFirst(mChannel);
            } else {
                mChannel.close();
            }
            mReply.complete(reply);
        }

        private void fail(final String reason) {
            if (mReply.isDone()) {
                return;
            }
            if (mChannel != null) {
                mChannel.close();
            }
            mReply.completeExceptionally(new NoValidResponseException(reason));
        }
    }

    /** Records that bytes of a response arrive. */
    private static final class ReceiptRecorder extends ChannelInboundHandlerAdapter {
        private final ResponseHandler mHandler;

        private ReceiptRecorder(final ResponseHandler handler) {
            mHandler = handler;
        }

        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            if (mHandler.mPending != null) {
                mHandler.mPending.mReceiving = true;
            }
            context.fireChannelRead(message);
        }
    }

    private static final class ResponseHandler
            extends SimpleChannelInboundHandler<FullHttpResponse> {
        private PendingCall mPending;
        private ResponseProgress mProgress;

        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final FullHttpResponse response) {
            if (mPending == null || response.decoderResult().isFailure()) {
                context.close();
                return;
            }
            final byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            final PendingCall pending = mPending;
            mPending = null;
            pending.succeed(
                    new HttpReply(response.status().code(), response.headers(), body),
                    HttpUtil.isKeepAlive(response) && mProgress.leftOver() == LeftOver.NOTHING);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext context) {
            if (mPending != null) {
                mPending.fail("connection closed");
            }
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            ConnectionExceptions.log(LOG, "outbound", cause);
            if (mPending != null) {
                mPending.fail("connection lost: " + cause);
            }
            context.close();
        }
    }
}
