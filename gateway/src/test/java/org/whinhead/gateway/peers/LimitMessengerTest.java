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
import org.whinhead.serving.ratelimit.LimitStatement;
import org.whinhead.serving.ratelimit.RequestRateLimit;

class LimitMessengerTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Optional<RequestRateLimit> ONE = Optional.of(new RequestRateLimit(1));

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final ServingState mState = TestServing.state(() -> NOW);
    private final List<Datagram> mSent = new ArrayList<>();
    private final LimitMessenger mMessenger =
            new LimitMessenger(mChannel.eventLoop(), mState, mSent::add);

    @BeforeEach
    void listEndpoint() {
        mState.endpoints().put(TestServing.endpoint("e-1", false), 1);
    }

    private static LimitStatement statement(
            final String endpoint, final long revision, final Optional<RequestRateLimit> limit) {
        return new LimitStatement(endpoint, Optional.empty(), revision, limit);
    }

    /** Lets time pass in steps, as tasks schedule others from the time at which they run. */
    private void pass(final int millis) {
        for (int passed = 0; passed < millis; passed++) {
            mChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
        }
    }

    // Guards against daemons that go on sending to an endpoint since a datagram was lost.
    @Test
    void statementIsToldThreeTimesWithinThirdOfSecond() {
        mMessenger.tell(statement("e-1", 1, ONE));
        pass(300);
        assertThat(mSent).hasSize(3).allMatch(Datagram::hasLimitNews);
        pass(1_000);
        assertThat(mSent).hasSize(3);
    }

    // Guards against as many messages as pairs of daemons: all see the same limit at once.
    @Test
    void statementThatAnotherDaemonTellsIsNotRepeated() {
        mMessenger.tell(statement("e-1", 1, ONE));
        pass(10);
        mMessenger.receive(PermitCodec.encodeNews(List.of(statement("e-1", 1, ONE))));
        pass(1_000);
        assertThat(mSent).hasSize(1);
    }

    // Guards against daemons that go on sending to an endpoint since a datagram was lost, and
    // another daemon has told only the first one of the limit in its report.
    @Test
    void reportOfAnotherDaemonDoesNotEndRepetition() {
        mMessenger.receive(PermitCodec.encodeNews(List.of(statement("e-1", 1, ONE))));
        final PeerReport.Builder report = PeerReport.newBuilder();
        mMessenger.addTo(report);
        mMessenger.tell(statement("e-1", 1, ONE));
        pass(10);
        mMessenger.receive(report.build());
        pass(1_000);
        assertThat(mSent).hasSize(3);
    }

    @Test
    void statementsMadeAtOnceShareDatagram() {
        for (int number = 0; number < 30; number++) {
            mMessenger.tell(statement("e-" + number, 1, ONE));
        }
        pass(10);
        assertThat(mSent).hasSize(2);
        assertThat(mSent.get(0).getLimitNews().getStatementsCount())
                .isEqualTo(LimitMessenger.MAX_STATEMENTS);
    }

    @Test
    void statementOfAnotherDaemonApplies() {
        mMessenger.receive(PermitCodec.encodeNews(List.of(statement("e-1", 1, ONE))));
        assertThat(mState.requestLimits().limit("e-1")).isEqualTo(ONE);
        mMessenger.receive(PermitCodec.encodeNews(List.of(statement("e-1", 2, Optional.empty()))));
        assertThat(mState.requestLimits().limit("e-1")).isEmpty();
    }

    @Test
    void statementOfUnknownEndpointIsIgnored() {
        mMessenger.receive(PermitCodec.encodeNews(List.of(statement("e-9", 1, ONE))));
        assertThat(mState.requestLimits().isEmpty()).isTrue();
    }

    // Guards against a daemon that starts, or was cut off, and sends as it likes.
    @Test
    void reportTellsLimits() {
        mMessenger.receive(PermitCodec.encodeNews(List.of(statement("e-1", 1, ONE))));
        final PeerReport.Builder report = PeerReport.newBuilder();
        mMessenger.addTo(report);
        mState.requestLimits().forget("e-1");
        mMessenger.receive(report.build());
        assertThat(mState.requestLimits().limit("e-1")).isEqualTo(ONE);
    }
}
