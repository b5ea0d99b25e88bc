package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.EndpointShare;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.balance.Work;
import org.whinhead.serving.speed.EndpointSpeeds;
import org.whinhead.serving.speed.SpeedReport;

class EndpointShareCodecTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private static Placement serve(final EndpointChooser chooser) {
        final Placement placement =
                chooser.place(
                                List.of(TestServing.endpoint("e1", false)),
                                new Work(List.of(), 1_000, 50),
                                Set.of(),
                                false,
                                NOW)
                        .orElseThrow();
        placement.recordToken(NOW.plusMillis(100));
        placement.recordToken(NOW.plusMillis(150));
        placement.recordToken(NOW.plusMillis(300));
        return placement;
    }

    // Guards against messages that grow in deployments that don't learn speeds.
    @Test
    void sharesHaveLoadsOnlyWhereSpeedsAreNotLearnt() {
        final EndpointChooser chooser = new EndpointChooser("domain-a", new Random(1));
        final Placement placement = serve(chooser);
        assertThat(EndpointShareCodec.createShares(chooser, NOW))
                .containsExactly(
                        EndpointShare.newBuilder().setEndpoint("e1").setRunning(1).build());
        placement.release();
        assertThat(EndpointShareCodec.createShares(chooser, NOW)).isEmpty();
    }

    @Test
    void speedIsReportedAfterTheRequestHasEnded() {
        final EndpointChooser chooser =
                new EndpointChooser("domain-a", new Random(1), Optional.of(new EndpointSpeeds()));
        serve(chooser).release();
        final List<EndpointShare> shares =
                List.copyOf(EndpointShareCodec.createShares(chooser, NOW.plusMillis(500)));
        assertThat(shares).hasSize(1);
        assertThat(shares.get(0).getRunning()).isZero();
        final SpeedReport speed = EndpointShareCodec.decodeSpeed(shares.get(0), "pool");
        assertThat(speed.endpoint()).isEqualTo("e1");
        assertThat(speed.weight()).isCloseTo(1.2, within(0.15));
        assertThat(speed.age()).isEqualTo(Duration.ofMillis(200));
    }

    @Test
    void changeKeepsItsAge() {
        final SpeedReport change =
                new SpeedReport(
                        "pool",
                        "e1",
                        2,
                        -1.5,
                        9,
                        Duration.ofMillis(30),
                        Optional.of(Duration.ofMillis(70)));
        assertThat(EndpointShareCodec.decodeSpeed(EndpointShareCodec.createShare(change), "pool"))
                .isEqualTo(change);
    }
}
