package org.whinhead.gateway.peers;

import java.time.Duration;
import java.util.Optional;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.StreamKeyRecord;
import org.whinhead.gateway.generated.GatewayProto.StreamOriginRecord;
import org.whinhead.gateway.generated.GatewayProto.StreamReplyRecord;
import org.whinhead.serving.stream.StreamKey;
import org.whinhead.serving.stream.StreamLookup;
import org.whinhead.serving.stream.StreamOrigin;
import org.whinhead.serving.stream.StreamRecord;

/** Encodes and decodes the origins of streams. */
final class StreamCodec {

    private StreamCodec() {}

    static Datagram encodeBegun(final StreamRecord stream) {
        return Datagram.newBuilder().setStreamBegun(encode(stream)).build();
    }

    static Datagram encodeQuery(final StreamKey key) {
        return Datagram.newBuilder().setStreamQuery(encode(key)).build();
    }

    /** Encodes what this daemon knows of a stream, and for how long. */
    static Datagram encodeReply(
            final StreamKey key, final StreamLookup known, final Duration keptFor) {
        final StreamReplyRecord.Builder reply =
                StreamReplyRecord.newBuilder()
                        .setKey(encode(key))
                        .setAmbiguous(known.knowledge() == StreamLookup.Knowledge.AMBIGUOUS);
        known.origin()
                .ifPresent(
                        origin -> reply.setOrigin(encode(new StreamRecord(key, origin, keptFor))));
        return Datagram.newBuilder().setStreamReply(reply).build();
    }

    private static StreamKeyRecord encode(final StreamKey key) {
        return StreamKeyRecord.newBuilder()
                .setCustomer(key.customer())
                .setDigestHigh(key.high())
                .setDigestLow(key.low())
                .build();
    }

    private static StreamOriginRecord encode(final StreamRecord stream) {
        return StreamOriginRecord.newBuilder()
                .setKey(encode(stream.key()))
                .setService(stream.origin().service())
                .setVersion(stream.origin().version())
                .setKeptMillis(Math.max(stream.keptFor().toMillis(), 1))
                .build();
    }

    static StreamKey decode(final StreamKeyRecord record) {
        return new StreamKey(record.getCustomer(), record.getDigestHigh(), record.getDigestLow());
    }

    static StreamRecord decode(final StreamOriginRecord record) {
        return new StreamRecord(
                decode(record.getKey()),
                new StreamOrigin(record.getService(), record.getVersion()),
                Duration.ofMillis(record.getKeptMillis()));
    }

    /** Returns the stream of a reply, if its sender knows the origin. */
    static Optional<StreamRecord> decode(final StreamReplyRecord record) {
        return record.hasOrigin() ? Optional.of(decode(record.getOrigin())) : Optional.empty();
    }
}
