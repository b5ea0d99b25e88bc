package org.whinhead.gateway.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.endpoint.EndpointStatements;
import org.whinhead.serving.configuration.CallerLimits;

@Timeout(30)
class WriteTurnTest {

    private static final LocalAddress ADDRESS = new LocalAddress("write-turn");
    private static final int WRITES = 100;
    private static final String REQUEST =
            "POST /a HTTP/1.1\r\nHost: h\r\nId: 1\r\nContent-Length: 1\r\n\r\nx";

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();
    private final CompletableFuture<CallerResponse> mResponse = new CompletableFuture<>();
    private final CallerHttpServer mServer =
            new CallerHttpServer(
                    mLoop,
                    WriteTurnTest::decode,
                    this::serve,
                    () -> new CallerLimits(512, 64, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    private int mFlushes;

    private static CallerRequest decode(final HttpRequest head) {
        return CallerRequest.builder()
                .id(head.headers().get("Id"))
                .call(head.method(), head.headers().get("Host"), head.uri())
                .forwardedHeaders(new DefaultHttpHeaders())
                .build();
    }

    private CallerRequestHandler.ActiveRequest serve(
            final CallerRequest request, final ByteBuf body, final CallerResponse response) {
        body.release();
        mResponse.complete(response);
        return new CallerRequestHandler.ActiveRequest() {
            @Override
            public void callerDisconnected() {}

            @Override
            public void callerCaughtUp() {}
        };
    }

    @AfterEach
    void close() {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void connect() throws InterruptedException {
        new ServerBootstrap()
                .group(mLoops)
                .channel(LocalServerChannel.class)
                .childHandler(
                        new ChannelInitializer<LocalChannel>() {
                            @Override
                            protected void initChannel(final LocalChannel channel) {
                                channel.pipeline().addLast(new FlushCounter());
                                mServer.addHandlers(channel.pipeline());
                            }
                        })
                .bind(ADDRESS)
                .sync();
        final Channel caller =
                new Bootstrap()
                        .group(mLoops)
                        .channel(LocalChannel.class)
                        .handler(new ChannelInboundHandlerAdapter())
                        .connect(ADDRESS)
                        .sync()
                        .channel();
        caller.writeAndFlush(Unpooled.copiedBuffer(REQUEST, StandardCharsets.US_ASCII)).sync();
    }

    private final class FlushCounter extends ChannelOutboundHandlerAdapter {
        @Override
        public void flush(final ChannelHandlerContext context) {
            mFlushes++;
            context.flush();
        }
    }

    private static EndpointResponse success() {
        return new EndpointResponse(
                HttpResponseStatus.OK,
                new DefaultHttpHeaders(),
                Optional.empty(),
                false,
                false,
                true,
                Optional.empty(),
                EndpointStatements.NONE,
                false);
    }

    private void writeEvents(final CallerResponse response) {
        response.start(success());
        for (int write = 0; write < WRITES; write++) {
            response.write(Unpooled.copiedBuffer("event", StandardCharsets.US_ASCII));
        }
    }

    // Guards against a call to the system for each of many writes to a caller.
    @Test
    void writesOfOneTurnAreFlushedTogether() throws Exception {
        connect();
        final CallerResponse response = mResponse.get(10, TimeUnit.SECONDS);
        mLoop.submit(() -> writeEvents(response)).get(10, TimeUnit.SECONDS);
        final int flushes = mLoop.submit(() -> mFlushes).get(10, TimeUnit.SECONDS);
        assertThat(flushes).isEqualTo(1);
    }
}
