package org.whinhead.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ListeningPortTest {

    private final MultiThreadIoEventLoopGroup mLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mLoop = (EventLoop) mLoops.next();

    @AfterEach
    void stopLoop() {
        mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private ListeningPort open(final InetSocketAddress address) {
        return mLoop.submit(
                        () ->
                                new ListeningPort(
                                        mLoop,
                                        new ServerBootstrap()
                                                .channel(NioServerSocketChannel.class)
                                                .childHandler(new ChannelInboundHandlerAdapter()),
                                        address))
                .syncUninterruptibly()
                .getNow();
    }

    /** Guards against a daemon that never serves because another one held its port at its start. */
    @Test
    void portInUseIsOpenedWhenItIsFree() throws IOException {
        final ListeningPort port;
        final InetSocketAddress address;
        try (ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) holder.getLocalSocketAddress();
            port = open(address);
            assertThat(port.isOpen()).isFalse();
        }
        while (!port.isOpen()) {
            Thread.onSpinWait();
        }
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            assertThat(caller.isConnected()).isTrue();
        }
    }
}
