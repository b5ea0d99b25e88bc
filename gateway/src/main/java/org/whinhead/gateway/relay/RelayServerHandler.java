package org.whinhead.gateway.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.generated.GatewayProto.RelayMessage;
import org.whinhead.gateway.generated.GatewayProto.RelayOutcome;
import org.whinhead.gateway.http.ConnectionExceptions;
import org.whinhead.gateway.http.ReadSizes;
import org.whinhead.serving.endpoint.EndpointEntry;

/** The relay's side of one relayed connection. */
final class RelayServerHandler extends SimpleChannelInboundHandler<RelayMessage> {

    private static final Logger LOG = LoggerFactory.getLogger(RelayServerHandler.class);

    /** Shorter than the time for which the asking daemon waits for the outcome. */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final RelayServer mServer;
    private ChannelHandlerContext mContext;
    private Channel mEndpoint;
    private String mEndpointId = "";
    private boolean mConnected;
    private boolean mEnded;

    RelayServerHandler(final RelayServer server) {
        mServer = server;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        mContext = context;
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final RelayMessage message) {
        if (mEnded && message.getContentCase() != RelayMessage.ContentCase.PAUSE) {
            return;
        }
        switch (message.getContentCase()) {
            case REQUEST -> handleRequest(message.getRequest().getEndpoint());
            case DATA -> forward(message);
            case PAUSE -> handlePause(message.getPause().getMillis());
            case CONFIGURATION_REQUEST ->
                    sendConfiguration(message.getConfigurationRequest().getVersion());
            default -> context.close();
        }
    }

    private void handleRequest(final String endpoint) {
        final InetSocketAddress sender = (InetSocketAddress) mContext.channel().remoteAddress();
        if (mEndpoint != null || !mServer.accepts(sender)) {
            deny(endpoint);
            return;
        }
        final Optional<EndpointEntry> entry = mServer.findEndpoint(endpoint);
        if (entry.isEmpty()) {
            end(RelayMessageCodec.outcome(RelayOutcome.ENDPOINT_NOT_REACHED));
            return;
        }
        if (!mServer.mayRelay(entry.get())) {
            deny(endpoint);
            return;
        }
        mEndpointId = endpoint;
        mServer.opened(this);
        connect(entry.get());
    }

    private void deny(final String endpoint) {
        LOG.atInfo()
                .addKeyValue("sender", mContext.channel().remoteAddress())
                .addKeyValue("endpoint", endpoint)
                .addKeyValue("relayed", mServer.connectionCount())
                .log("relay denied");
        end(RelayMessageCodec.outcome(RelayOutcome.DENIED));
    }

    private void handlePause(final long millis) {
        if (mEndpointId.isEmpty()) {
            // Nobody has asked who sends it; it could go on without end.
            mContext.close();
            return;
        }
        mServer.pauseRequested(mEndpointId, millis);
    }

    private void sendConfiguration(final long version) {
        final InetSocketAddress sender = (InetSocketAddress) mContext.channel().remoteAddress();
        if (mEndpoint != null || !mServer.accepts(sender)) {
            LOG.atInfo().addKeyValue("sender", sender).log("configuration denied");
            mContext.close();
            return;
        }
        final Optional<ConfigurationCopy> newer =
                mServer.configuration().filter(copy -> copy.version() > version);
        RelayMessageCodec.configurationParts(newer).forEach(mContext::write);
        closeAfter(mContext.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }

    private void connect(final EndpointEntry endpoint) {
        final ChannelFuture future =
                new Bootstrap()
                        .group(mContext.channel().eventLoop())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .handler(new RelayEndpointHandler(this))
                        .connect(endpoint.address(), mServer.localAddress());
        mEndpoint = future.channel();
        future.addListener(
                done -> {
                    if (done.isSuccess()) {
                        mConnected = true;
                        send(RelayMessageCodec.outcome(RelayOutcome.CONNECTED));
                    } else {
                        mServer.notReached(endpoint);
                        end(RelayMessageCodec.outcome(RelayOutcome.ENDPOINT_NOT_REACHED));
                    }
                });
    }

    private void forward(final RelayMessage message) {
        if (!mConnected) {
            mContext.close();
            return;
        }
        if (!mEndpoint.isActive()) {
            // Its end is told later in this turn, behind the rest of the response.
            return;
        }
        mEndpoint.writeAndFlush(RelayMessageCodec.data(message));
        if (!mEndpoint.isWritable()) {
            mContext.channel().config().setAutoRead(false);
        }
    }

    boolean leadsTo(final String endpoint) {
        return mEndpointId.equals(endpoint);
    }

    /** Resumes reading once the endpoint has taken what was read. */
    void endpointWritable() {
        mContext.channel().config().setAutoRead(true);
    }

    /** Writes a message to the asking daemon; returns whether it reads fast enough. */
    boolean send(final RelayMessage message) {
        mContext.writeAndFlush(message);
        return mContext.channel().isWritable();
    }

    /**
     * Writes the last message and closes the connection once it is sent. The asking daemon may
     * still send parts of its request, which are dropped; its connection stays open for the rest of
     * the response.
     */
    void end(final RelayMessage last) {
        if (mContext.channel().isActive()) {
            closeAfter(mContext.writeAndFlush(last));
        }
    }

    private void closeAfter(final ChannelFuture lastWrite) {
        mEnded = true;
        lastWrite.addListener(
                done -> {
                    mServer.closed(this);
                    mServer.closer().close(mContext.channel());
                });
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext context) {
        if (mEndpoint != null && context.channel().isWritable()) {
            mEndpoint.config().setAutoRead(true);
        }
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof IdleStateEvent) {
            context.close();
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mServer.closed(this);
        if (mEndpoint != null) {
            mEndpoint.close();
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        ConnectionExceptions.log(LOG, "relay", cause);
        context.close();
    }
}
