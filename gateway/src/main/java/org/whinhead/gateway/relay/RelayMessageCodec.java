package org.whinhead.gateway.relay;

import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.gateway.generated.GatewayProto.ConfigurationPart;
import org.whinhead.gateway.generated.GatewayProto.ConfigurationRequest;
import org.whinhead.gateway.generated.GatewayProto.RelayDrain;
import org.whinhead.gateway.generated.GatewayProto.RelayEnd;
import org.whinhead.gateway.generated.GatewayProto.RelayMessage;
import org.whinhead.gateway.generated.GatewayProto.RelayOutcome;
import org.whinhead.gateway.generated.GatewayProto.RelayPause;
import org.whinhead.gateway.generated.GatewayProto.RelayRequest;

/** Encodes and decodes the messages of relayed connections. */
final class RelayMessageCodec extends MessageToMessageCodec<ByteBuf, RelayMessage> {

    private static final int LENGTH_BYTES = 4;

    /** The most bytes of data in a message. */
    private static final int MAX_DATA_BYTES = 64 * 1024;

    /** The most bytes of a message: its data and the fields around it. */
    private static final int MAX_MESSAGE_BYTES = MAX_DATA_BYTES + 1_024;

    /** Adds the handlers that split the stream of bytes into messages. */
    static void addTo(final ChannelPipeline pipeline) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        MAX_MESSAGE_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new RelayMessageCodec());
    }

    static RelayMessage request(final String endpoint) {
        return RelayMessage.newBuilder()
                .setRequest(RelayRequest.newBuilder().setEndpoint(endpoint))
                .build();
    }

    static RelayMessage configurationRequest(final long version) {
        return RelayMessage.newBuilder()
                .setConfigurationRequest(ConfigurationRequest.newBuilder().setVersion(version))
                .build();
    }

    /** Returns the messages of a reply with a record, or without one. */
    static List<RelayMessage> configurationParts(final Optional<ConfigurationCopy> copy) {
        final int length = copy.map(ConfigurationCopy::length).orElse(0);
        final List<RelayMessage> parts = new ArrayList<>();
        int from = 0;
        do {
            final int start = from;
            final int end = Math.min(start + MAX_DATA_BYTES, length);
            final byte[] bytes = copy.map(record -> record.part(start, end)).orElse(new byte[0]);
            final ConfigurationPart.Builder part =
                    ConfigurationPart.newBuilder()
                            .setValue(UnsafeByteOperations.unsafeWrap(bytes))
                            .setLast(end == length);
            parts.add(RelayMessage.newBuilder().setConfigurationPart(part).build());
            from = end;
        } while (from < length);
        return parts;
    }

    static RelayMessage outcome(final RelayOutcome outcome) {
        return RelayMessage.newBuilder().setOutcome(outcome).build();
    }

    static RelayMessage drain() {
        return RelayMessage.newBuilder().setDrain(RelayDrain.getDefaultInstance()).build();
    }

    static RelayMessage pause(final Duration length) {
        return RelayMessage.newBuilder()
                .setPause(RelayPause.newBuilder().setMillis(length.toMillis()))
                .build();
    }

    static RelayMessage end(final boolean closed) {
        return RelayMessage.newBuilder().setEnd(RelayEnd.newBuilder().setClosed(closed)).build();
    }

    /**
     * Takes the next part of a buffer as a message.
     *
     * @param bytes a readable buffer, whose read bytes are copied
     */
    static RelayMessage nextData(final ByteBuf bytes) {
        final byte[] part = new byte[Math.min(bytes.readableBytes(), MAX_DATA_BYTES)];
        bytes.readBytes(part);
        return RelayMessage.newBuilder().setData(UnsafeByteOperations.unsafeWrap(part)).build();
    }

    /** Returns the bytes of a message with data. */
    static ByteBuf data(final RelayMessage message) {
        return Unpooled.wrappedBuffer(message.getData().asReadOnlyByteBuffer());
    }

    @Override
    protected void encode(
            final ChannelHandlerContext context,
            final RelayMessage message,
            final List<Object> encoded) {
        encoded.add(Unpooled.wrappedBuffer(message.toByteArray()));
    }

    @Override
    protected void decode(
            final ChannelHandlerContext context, final ByteBuf frame, final List<Object> decoded)
            throws IOException {
        decoded.add(RelayMessage.parseFrom(frame.nioBuffer()));
    }
}
