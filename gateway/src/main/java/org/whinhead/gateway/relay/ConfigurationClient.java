package org.whinhead.gateway.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.generated.GatewayProto.ConfigurationPart;
import org.whinhead.gateway.generated.GatewayProto.RelayMessage;
import org.whinhead.gateway.http.ConnectionExceptions;
import org.whinhead.gateway.http.ReadSizes;
import org.whinhead.serving.member.Relay;

/** Asks other daemons for the configuration's record. */
public final class ConfigurationClient {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationClient.class);

    /** The most bytes of a record that are accepted. */
    private static final int MAX_RECORD_BYTES = 16 * 1024 * 1024;

    /** The longest time for a record that keeps arriving. */
    private static final Duration LONGEST_TRANSFER = Duration.ofSeconds(5);

    private final EventLoop mLoop;
    private final InetAddress mLocalAddress;
    private final Duration mTimeout;

    /**
     * Creates a client.
     *
     * @param loop the event loop on which all work runs
     * @param localAddress the address of this VM, by which daemons know each other
     * @param timeout the time after which the next part of a daemon's answer is not awaited any
     *     more
     */
    public ConfigurationClient(
            final EventLoop loop, final InetAddress localAddress, final Duration timeout) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mLocalAddress = Objects.requireNonNull(localAddress, "localAddress");
        mTimeout = Objects.requireNonNull(timeout, "timeout");
    }

    /**
     * Asks a daemon for a newer configuration.
     *
     * @param daemon the daemon
     * @param version the version of the asking daemon
     * @param onAnswer receives the record's value, once; empty if the daemon has none that is newer
     *     or did not answer in time
     */
    public void fetch(
            final Relay daemon, final long version, final Consumer<Optional<byte[]>> onAnswer) {
        final AnswerHandler handler = new AnswerHandler(daemon, version, onAnswer);
        final ChannelFuture future =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.RCVBUF_ALLOCATOR, ReadSizes.allocator())
                        .handler(new PipelineInitializer(handler))
                        .connect(daemon.address(), new InetSocketAddress(mLocalAddress, 0));
        handler.start(future.channel());
        future.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        LOG.atInfo()
                                .addKeyValue("daemon", daemon.daemon())
                                .addKeyValue("cause", String.valueOf(done.cause()))
                                .log("daemon not reached for the configuration");
                        handler.end(Optional.empty(), String.valueOf(done.cause()));
                    }
                });
    }

    private static final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final AnswerHandler mHandler;

        private PipelineInitializer(final AnswerHandler handler) {
            mHandler = handler;
        }

        @Override
        protected void initChannel(final SocketChannel channel) {
            RelayMessageCodec.addTo(channel.pipeline());
            channel.pipeline().addLast(mHandler);
        }
    }

    private final class AnswerHandler extends SimpleChannelInboundHandler<RelayMessage> {
        private final Relay mDaemon;
        private final long mVersion;
        private final Consumer<Optional<byte[]>> mOnAnswer;
        private final ByteArrayOutputStream mValue = new ByteArrayOutputStream();
        private Channel mChannel;
        private Future<?> mTimer;
        private Future<?> mLongest;
        private boolean mEnded;

        private AnswerHandler(
                final Relay daemon, final long version, final Consumer<Optional<byte[]>> onAnswer) {
            mDaemon = daemon;
            mVersion = version;
            mOnAnswer = onAnswer;
        }

        private void start(final Channel channel) {
            mChannel = channel;
            awaitPart();
            mLongest =
                    mLoop.schedule(
                            () -> end(Optional.empty(), "record not whole in time"),
                            LONGEST_TRANSFER.toMillis(),
                            TimeUnit.MILLISECONDS);
        }

        private void awaitPart() {
            mTimer =
                    mLoop.schedule(
                            () -> end(Optional.empty(), "no answer in time"),
                            mTimeout.toMillis(),
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelActive(final ChannelHandlerContext context) {
            context.writeAndFlush(RelayMessageCodec.configurationRequest(mVersion));
        }

        @Override
        protected void channelRead0(
                final ChannelHandlerContext context, final RelayMessage message) {
            if (!message.hasConfigurationPart()) {
                end(Optional.empty(), "unexpected message " + message.getContentCase());
                return;
            }
            mTimer.cancel(false);
            awaitPart();
            final ConfigurationPart part = message.getConfigurationPart();
            mValue.writeBytes(part.getValue().toByteArray());
            if (mValue.size() > MAX_RECORD_BYTES) {
                end(Optional.empty(), "record of more than " + MAX_RECORD_BYTES + " bytes");
            } else if (part.getLast()) {
                end(
                        mValue.size() == 0 ? Optional.empty() : Optional.of(mValue.toByteArray()),
                        "nothing newer");
            }
        }

        private void end(final Optional<byte[]> answer, final String reasonIfEmpty) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            mTimer.cancel(false);
            mLongest.cancel(false);
            mChannel.close();
            if (answer.isEmpty()) {
                LOG.atDebug()
                        .addKeyValue("daemon", mDaemon.daemon())
                        .addKeyValue("version", mVersion)
                        .addKeyValue("reason", reasonIfEmpty)
                        .log("no newer configuration from daemon");
            }
            mOnAnswer.accept(answer);
        }

        @Override
        public void channelInactive(final ChannelHandlerContext context) {
            end(Optional.empty(), "connection lost");
        }

        @Override
        public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
            ConnectionExceptions.log(LOG, "daemon asked for the configuration", cause);
            end(Optional.empty(), cause.toString());
        }
    }
}
