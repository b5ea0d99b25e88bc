package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.generated.GatewayProto.EndpointNews;
import org.whinhead.serving.endpoint.EndpointChange;
import org.whinhead.serving.endpoint.EndpointEntry;

class EndpointChangeCodecTest {

    private static EndpointChange change(final int number, final Optional<Duration> leavesIn) {
        final EndpointEntry entry =
                EndpointEntry.builder(
                                "i-7f3a91c2" + number,
                                "costdesk-llm",
                                new InetSocketAddress("10.3.64.44", 8064),
                                "industrial-area")
                        .slots(96)
                        .leaving(leavesIn.isPresent(), leavesIn)
                        .reclaimable(true)
                        .started(
                                leavesIn.map(left -> Instant.ofEpochMilli(1_768_185_459_223L)),
                                Duration.ofMillis(250))
                        .build();
        return new EndpointChange(entry.id(), number, Optional.of(entry));
    }

    /** Finds what a receiver knew of an endpoint before it left. */
    private static Optional<EndpointEntry> findEntry(
            final String id, final List<EndpointChange> changes) {
        return changes.stream()
                .filter(change -> change.id().equals(id))
                .findFirst()
                .flatMap(EndpointChange::entry);
    }

    private static List<EndpointChange> encodeAndDecode(final List<EndpointChange> changes)
            throws InvalidProtocolBufferException {
        final List<EndpointChange> received = new ArrayList<>();
        for (final EndpointNews news : EndpointChangeCodec.encode(changes)) {
            received.addAll(
                    EndpointChangeCodec.decode(
                            EndpointNews.parseFrom(news.toByteArray()),
                            id -> findEntry(id, changes)));
        }
        return received;
    }

    @Test
    void changesSurviveRoundTrip() throws InvalidProtocolBufferException {
        final List<EndpointChange> changes =
                List.of(
                        change(1, Optional.empty()),
                        change(2, Optional.of(Duration.ZERO)),
                        change(3, Optional.of(Duration.ofMillis(2_300))),
                        new EndpointChange("gone", 9, Optional.empty()));
        assertThat(encodeAndDecode(changes)).isEqualTo(changes);
    }

    // A whole failure domain is reclaimed, and no daemon hears of it until it reads the store: the
    // news did not fit into one packet, and one of its pieces was lost.
    @Test
    void eachDatagramOfLargeReclaimFitsIntoOnePacket() throws InvalidProtocolBufferException {
        final List<EndpointChange> changes = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            changes.add(change(number, Optional.of(Duration.ofMillis(1_300))));
        }
        assertThat(EndpointChangeCodec.encode(changes))
                .allMatch(news -> news.getSerializedSize() < 1_400);
        assertThat(encodeAndDecode(changes)).isEqualTo(changes);
    }

    // For two seconds after each reclaim most daemons sent requests to endpoints that were gone:
    // the
    // readers' news of it was more than their links took at once, and its second half was lost.
    @Test
    void changesOfReclaimFitIntoOneDatagram() {
        final List<EndpointChange> changes = new ArrayList<>();
        for (int number = 0; number < 14; number++) {
            changes.add(change(number, Optional.of(Duration.ofMillis(2_400))));
            changes.add(new EndpointChange("i-7f3a91c2" + number, 90 + number, Optional.empty()));
        }
        assertThat(EndpointChangeCodec.encode(changes)).hasSize(1);
    }

    @Test
    void unknownLeavingEndpointIsIgnored() {
        final List<EndpointChange> changes = List.of(change(1, Optional.of(Duration.ZERO)));

        assertThat(
                        EndpointChangeCodec.decode(
                                EndpointChangeCodec.encode(changes).get(0), id -> Optional.empty()))
                .isEmpty();
    }

    // An endpoint that has started again gets no requests for good: the news that it left before
    // reaches a daemon that knows its next start.
    @Test
    void leavingNoticeOfEarlierStartIsIgnored() {
        final List<EndpointChange> changes = List.of(change(1, Optional.of(Duration.ZERO)));
        final EndpointEntry next =
                EndpointEntry.builder(
                                "i-7f3a91c21",
                                "costdesk-llm",
                                new InetSocketAddress("10.3.64.44", 8064),
                                "industrial-area")
                        .started(
                                Optional.of(Instant.ofEpochMilli(1_768_185_499_000L)),
                                Duration.ZERO)
                        .build();

        assertThat(
                        EndpointChangeCodec.decode(
                                EndpointChangeCodec.encode(changes).get(0),
                                id -> Optional.of(next)))
                .isEmpty();
    }
}
