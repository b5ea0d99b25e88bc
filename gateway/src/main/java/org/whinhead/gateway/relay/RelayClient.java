package org.whinhead.gateway.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.whinhead.gateway.http.ReadSizes;
import org.whinhead.serving.member.Relay;

/** Opens connections to endpoints through other daemons. */
public final class RelayClient {

    private final EventLoop mLoop;
    private final InetAddress mLocalAddress;

    /**
     * Creates a client.
     *
     * @param loop the event loop on which all work runs
     * @param localAddress the address of this VM, by which relays know this daemon
     */
    public RelayClient(final EventLoop loop, final InetAddress localAddress) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mLocalAddress = Objects.requireNonNull(localAddress, "localAddress");
    }

    /**
     * Asks a daemon to connect to an endpoint.
     *
     * @param relay the daemon
     * @param endpoint the endpoint's id
     * @param handler handles the bytes to and from the endpoint; added once it is connected
     * @param listener receives the outcome, at most once
     * @return the channel to the relay; closing it cancels the request
     */
    public Channel open(
            final Relay relay,
            final String endpoint,
            final ChannelHandler handler,
            final RelayListener listener) {
        final RelayClientHandler client =
                new RelayClientHandler(relay.daemon(), endpoint, handler, listener);
        final ChannelFuture future =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                        .handler(new PipelineInitializer(client))
                        .connect(relay.address(), new InetSocketAddress(mLocalAddress, 0));
        future.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        client.fail(RelayFailure.NOT_RELAYED);
                    }
                });
        return future.channel();
    }

    private static final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final RelayClientHandler mClient;

        private PipelineInitializer(final RelayClientHandler client) {
            mClient = client;
        }

        @Override
        protected void initChannel(final SocketChannel channel) {
            RelayMessageCodec.addTo(channel.pipeline());
            channel.pipeline().addLast(mClient);
        }
    }
}
