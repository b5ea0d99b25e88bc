package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.FeatureLevel;
import org.whinhead.serving.crash.RequestFeature;
import org.whinhead.serving.crash.SuspectRecord;

class CrashCodecTest {

    /** What fits into one packet of a network with the usual frames. */
    private static final int MAX_BYTES = 1_400;

    private static final RequestFeature FEATURE =
            new RequestFeature(-1, Long.MIN_VALUE, Long.MAX_VALUE);

    @Test
    void recordSurvivesEncoding() {
        final SuspectRecord record =
                new SuspectRecord(FEATURE, 3, Duration.ofMinutes(9), Set.of(-5, 7));
        assertThat(CrashCodec.decode(CrashCodec.encode(record))).isEqualTo(record);
    }

    // Guards against a crash of a full endpoint that is told in a datagram no network carries
    // whole.
    @Test
    void crashWithManyRequestsIsSplit() {
        final List<EndpointCrash.LostRun> runs =
                IntStream.range(0, 30).mapToObj(CrashCodecTest::lostRun).toList();
        final List<Datagram> datagrams = CrashCodec.encode(new EndpointCrash("i-0123456789", runs));
        assertThat(datagrams)
                .allSatisfy(
                        datagram ->
                                assertThat(datagram.getSerializedSize())
                                        .isLessThanOrEqualTo(MAX_BYTES));
        assertThat(
                        datagrams.stream()
                                .map(datagram -> CrashCodec.decode(datagram.getEndpointCrash()))
                                .flatMap(crash -> crash.runs().stream()))
                .containsExactlyElementsOf(runs);
    }

    /** Returns a run with one to 33 features, the most that a request has. */
    private static EndpointCrash.LostRun lostRun(final int number) {
        return new EndpointCrash.LostRun(
                IntStream.rangeClosed(0, number % 33)
                        .mapToObj(
                                index ->
                                        new FeatureLevel(
                                                new RequestFeature(index, number, -number), 1))
                        .toList());
    }

    @Test
    void answerAndStartSurviveEncoding() {
        final FeatureAnswer answer = new FeatureAnswer(List.of(new FeatureLevel(FEATURE, 2)), true);
        assertThat(CrashCodec.decode(CrashCodec.encode(answer).getFeatureAnswer()))
                .isEqualTo(answer);
        final Datagram start = CrashCodec.encodeStart(List.of(FEATURE), "e-1");
        assertThat(CrashCodec.decode(start.getFeatureStart())).containsExactly(FEATURE);
        assertThat(start.getFeatureStart().getEndpoint()).isEqualTo("e-1");
    }
}
