package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.serving.endpoint.EndpointStart;

class DepartureMessengerTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final ServingState mState = TestServing.state(() -> NOW);
    private final List<Datagram> mSent = new ArrayList<>();
    private final List<EndpointStart> mHeard = new ArrayList<>();
    private final DepartureMessenger mMessenger =
            new DepartureMessenger(mChannel.eventLoop(), mState, mSent::add);

    @BeforeEach
    void listen() {
        mMessenger.onDepartures(mHeard::addAll);
    }

    private static EndpointStart start(final String endpoint) {
        return new EndpointStart(endpoint, Optional.of(NOW), "v1");
    }

    private void pass(final int millis) {
        for (int passed = 0; passed < millis; passed++) {
            mChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
        }
    }

    // Guards against daemons that go on sending to an endpoint that leaves since a datagram was
    // lost.
    @Test
    void departureIsToldThreeTimesWithinThirdOfSecond() {
        mMessenger.tell(start("e-1"));
        pass(300);
        assertThat(mSent).hasSize(3);
        mMessenger.receive(mSent.get(2));
        assertThat(mHeard).containsExactly(start("e-1"));
        pass(1_000);
        assertThat(mSent).hasSize(3);
    }

    // Guards against as many messages as pairs of daemons when all hear an endpoint at once.
    @Test
    void departureThatAnotherDaemonTellsIsNotRepeated() {
        mMessenger.tell(start("e-1"));
        pass(10);
        mMessenger.receive(mSent.get(0));
        pass(1_000);
        assertThat(mSent).hasSize(1);
    }

    @Test
    void departuresMadeAtOnceShareDatagram() {
        for (int number = 0; number < 30; number++) {
            mMessenger.tell(start("e-" + number));
        }
        pass(10);
        assertThat(mSent).hasSize(2);
        assertThat(mSent.get(0).getDepartureNews().getDeparturesCount())
                .isEqualTo(DepartureMessenger.MAX_DEPARTURES);
        assertThat(mSent.get(0).toByteArray().length).isLessThan(1_400);
    }

    // Guards against a daemon that starts, or was cut off, and goes on sending.
    @Test
    void reportTellsRecentDepartures() {
        mState.departures().add(start("e-1"), NOW);
        final PeerReport.Builder report = PeerReport.newBuilder();
        mMessenger.addTo(report);
        mMessenger.receive(report.build());
        assertThat(mHeard).containsExactly(start("e-1"));
    }
}
