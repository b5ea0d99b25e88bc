package org.whinhead.peer;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.whinhead.peer.generated.PeerProto.Envelope;

/** Initializes a connection's pipeline: TLS, idle timeout, framing, codec and handler. */
final class PeerPipeline extends ChannelInitializer<SocketChannel> {

    private static final int LENGTH_BYTES = 4;

    private final PeerSettings mSettings;
    private final Supplier<Optional<SslContext>> mTls;
    private final Supplier<PeerConnection> mConnections;

    PeerPipeline(
            final PeerSettings settings,
            final Supplier<Optional<SslContext>> tls,
            final Supplier<PeerConnection> connections) {
        mSettings = settings;
        mTls = tls;
        mConnections = connections;
    }

    @Override
    protected void initChannel(final SocketChannel channel) {
        final ChannelPipeline pipeline = channel.pipeline();
        mTls.get().ifPresent(tls -> pipeline.addLast(handler(tls, channel)));
        pipeline.addLast(
                new IdleStateHandler(
                        mSettings.idleTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS));
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        mSettings.longestFrame(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(mConnections.get());
    }

    private SslHandler handler(final SslContext tls, final SocketChannel channel) {
        final SslHandler handler = tls.newHandler(channel.alloc());
        handler.setHandshakeTimeoutMillis(mSettings.handshakeTimeout().toMillis());
        return handler;
    }
}
