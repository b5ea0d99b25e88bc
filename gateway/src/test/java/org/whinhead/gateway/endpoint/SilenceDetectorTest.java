package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.reach.RelaySelector;

class SilenceDetectorTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final InetSocketAddress ADDRESS =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 7600);
    private static final String SERVICE = "api";

    private final List<EndpointEntry> mListed =
            IntStream.range(0, 10)
                    .mapToObj(
                            index ->
                                    EndpointEntry.builder("e-" + index, SERVICE, ADDRESS, "a")
                                            .build())
                    .toList();
    private final SilenceDetector mDetector =
            new SilenceDetector(connections(), service -> mListed, new Random(1));

    private static EndpointConnections connections() {
        final Member member = new Member("a1", "a1-first", "a", ADDRESS, ADDRESS);
        final EndpointReach reach = new EndpointReach();
        final EndpointConnector connector =
                new EndpointConnector(
                        new EmbeddedChannel().eventLoop(),
                        InstantSource.fixed(START),
                        ADDRESS.getAddress(),
                        reach,
                        new RelaySelector(new MemberTable(member), new Random(1)),
                        new ConnectionLogger(new RequestMetrics()));
        return new EndpointConnections(
                InstantSource.fixed(START), new PlainProtocol(), connector, reach);
    }

    @Test
    void twoEndpointsOfServiceAreSuspectedOnceInSecond() {
        assertThat(mDetector.suspectsOf(SERVICE, START)).hasSize(2);
        assertThat(mDetector.suspectsOf(SERVICE, START.plusMillis(999))).isEmpty();
        assertThat(mDetector.suspectsOf(SERVICE, START.plusMillis(1_000))).hasSize(2);
    }

    // Guards against all daemons sending their health checks to one endpoint in the same second.
    @Test
    void suspectsOfServiceAreSpreadOverItsEndpoints() {
        final Set<String> suspects = new HashSet<>();
        for (int second = 0; second < 40; second++) {
            suspects.addAll(mDetector.suspectsOf(SERVICE, START.plusSeconds(second)));
        }
        assertThat(suspects).hasSize(mListed.size());
    }
}
