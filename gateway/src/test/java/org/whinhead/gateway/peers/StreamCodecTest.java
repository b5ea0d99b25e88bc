package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.StreamReplyRecord;
import org.whinhead.serving.stream.StreamKey;
import org.whinhead.serving.stream.StreamLookup;
import org.whinhead.serving.stream.StreamOrigin;
import org.whinhead.serving.stream.StreamRecord;

class StreamCodecTest {

    /** What three messages for each of 21 streams a second may take of a daemon's 23 KB. */
    private static final int MAX_BYTES = 100;

    private static final StreamKey KEY = new StreamKey(-7, Long.MIN_VALUE, 3);
    private static final StreamOrigin ORIGIN = new StreamOrigin("language-models", "v1.1-rc2");
    private static final StreamRecord STREAM =
            new StreamRecord(KEY, ORIGIN, Duration.ofMillis(20_500));

    @Test
    void begunStreamIsReadAsWritten() {
        final Datagram datagram = StreamCodec.encodeBegun(STREAM);
        assertThat(StreamCodec.decode(datagram.getStreamBegun())).isEqualTo(STREAM);
        assertThat(datagram.getSerializedSize()).isLessThan(MAX_BYTES);
    }

    @Test
    void queryIsReadAsWritten() {
        final Datagram datagram = StreamCodec.encodeQuery(KEY);
        assertThat(StreamCodec.decode(datagram.getStreamQuery())).isEqualTo(KEY);
    }

    @Test
    void replyHoldsWhatIsKnown() {
        assertThat(StreamCodec.decode(reply(StreamLookup.found(ORIGIN)))).contains(STREAM);
        assertThat(reply(StreamLookup.found(ORIGIN)).getAmbiguous()).isFalse();
        assertThat(StreamCodec.decode(reply(StreamLookup.UNKNOWN))).isEmpty();
        assertThat(StreamCodec.decode(reply(StreamLookup.AMBIGUOUS))).isEmpty();
        assertThat(reply(StreamLookup.AMBIGUOUS).getAmbiguous()).isTrue();
    }

    private static StreamReplyRecord reply(final StreamLookup known) {
        return StreamCodec.encodeReply(KEY, known, STREAM.keptFor()).getStreamReply();
    }
}
