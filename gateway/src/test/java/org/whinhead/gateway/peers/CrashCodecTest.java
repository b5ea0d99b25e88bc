package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.RequestIdentity;
import org.whinhead.serving.crash.SuspectRecord;

class CrashCodecTest {

    /** What fits into one packet of a network with the usual frames. */
    private static final int MAX_BYTES = 1_400;

    private static final RequestIdentity IDENTITY =
            new RequestIdentity(-1, Long.MIN_VALUE, Long.MAX_VALUE);

    @Test
    void recordSurvivesEncoding() {
        final SuspectRecord record = new SuspectRecord(IDENTITY, 3, Duration.ofMinutes(9));
        assertThat(CrashCodec.decode(CrashCodec.encode(record))).isEqualTo(record);
    }

    // Guards against a crash of a full endpoint that is told in a datagram no network carries
    // whole.
    @Test
    void crashWithManyRequestsIsSplit() {
        final List<EndpointCrash.Request> requests =
                IntStream.range(0, 100)
                        .mapToObj(
                                number ->
                                        new EndpointCrash.Request(
                                                new RequestIdentity(number, number, -number), 1))
                        .toList();
        final List<Datagram> datagrams =
                CrashCodec.encode(new EndpointCrash("i-0123456789", requests));
        assertThat(datagrams)
                .allSatisfy(
                        datagram ->
                                assertThat(datagram.getSerializedSize())
                                        .isLessThanOrEqualTo(MAX_BYTES));
        assertThat(
                        datagrams.stream()
                                .map(datagram -> CrashCodec.decode(datagram.getEndpointCrash()))
                                .flatMap(crash -> crash.requests().stream()))
                .containsExactlyElementsOf(requests);
    }
}
