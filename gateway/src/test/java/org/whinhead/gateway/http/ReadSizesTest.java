package org.whinhead.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ReadSizesTest {

    private static final int SENT_BYTES = 4 * 1024 * 1024;

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ServerSocket mServer;

    ReadSizesTest() throws IOException {
        mServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        mServer.close();
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), mServer.getLocalPort());
    }

    /** Counts the bytes of each turn. */
    private static final class TurnCounter extends ChannelInboundHandlerAdapter {
        private final List<Integer> mTurns = new ArrayList<>();
        private final CompletableFuture<List<Integer>> mAllRead = new CompletableFuture<>();
        private int mTurnBytes;
        private int mBytes;

        @Override
        public void channelRead(final ChannelHandlerContext context, final Object message) {
            final ByteBuf bytes = (ByteBuf) message;
            mTurnBytes += bytes.readableBytes();
            mBytes += bytes.readableBytes();
            bytes.release();
        }

        @Override
        public void channelReadComplete(final ChannelHandlerContext context) {
            mTurns.add(mTurnBytes);
            mTurnBytes = 0;
            if (mBytes == SENT_BYTES) {
                mAllRead.complete(mTurns);
            }
        }
    }

    // Guards against connections that wait for one whose other side sends as fast as it can.
    @Test
    void bytesOfOneTurnAreBounded() throws Exception {
        final TurnCounter counter = new TurnCounter();
        final Channel channel =
                new Bootstrap()
                        .group(mLoops)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                        .handler(counter)
                        .connect(address())
                        .sync()
                        .channel();
        try (Socket sender = mServer.accept()) {
            final Thread writing =
                    new Thread(
                            () -> {
                                try {
                                    sender.getOutputStream().write(new byte[SENT_BYTES]);
                                } catch (IOException e) {
                                    counter.mAllRead.completeExceptionally(e);
                                }
                            });
            writing.start();
            channel.config().setAutoRead(true);
            assertThat(counter.mAllRead.get(20, TimeUnit.SECONDS))
                    .allMatch(bytes -> bytes <= ReadSizes.MAX_BYTES_PER_TURN);
        }
    }

    // Guards against a store or a cloud whose response keeps callers waiting.
    @Test
    void connectionsOfOwnCallsAreBounded() throws Exception {
        final CompletableFuture<Channel> opened = new CompletableFuture<>();
        final EventLoop loop = (EventLoop) mLoops.next();
        EventLoopHttpClient.connect(
                loop,
                address(),
                new ChannelInboundHandlerAdapter(),
                opened::complete,
                cause -> opened.completeExceptionally(new IOException(cause)));
        assertThat(
                        opened.get(10, TimeUnit.SECONDS)
                                .config()
                                .getOption(ChannelOption.RCVBUF_ALLOCATOR))
                .hasSameClassAs(ReadSizes.allocator())
                .extracting("maxMessagesPerRead")
                .isEqualTo(4);
    }
}
