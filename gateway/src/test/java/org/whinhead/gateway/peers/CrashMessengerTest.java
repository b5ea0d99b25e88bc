package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.FeatureLevel;
import org.whinhead.serving.crash.RequestFeature;

class CrashMessengerTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final RequestFeature FEATURE = new RequestFeature(1, 2, 3);
    private static final FeatureAnswer ANSWER =
            new FeatureAnswer(List.of(new FeatureLevel(FEATURE, 0)), true);

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final ServingState mState = TestServing.state(() -> NOW);
    private final List<Datagram> mSent = new ArrayList<>();
    private final CrashMessenger mMessenger =
            new CrashMessenger(
                    mChannel.eventLoop(), mState, mSent::add, (receiver, datagram) -> {});

    private void pass(final int millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }

    @Test
    void answerIsRepeated() {
        mMessenger.answered(ANSWER);
        pass(1_000);
        assertThat(mSent).hasSize(4).allMatch(Datagram::hasFeatureAnswer);
    }

    // Guards against daemons that refuse a request which most others serve: an endpoint crashed
    // under it again, and a repeat of the answer from before ended the suspicion at most of them.
    @Test
    void answerIsNotRepeatedOnceTheRequestIsSuspectedAgain() {
        mMessenger.answered(ANSWER);
        pass(200);
        mState.suspects().applyPeerCrash(List.of(new FeatureLevel(FEATURE, 1)), "e-1", NOW);
        pass(1_000);
        assertThat(mSent).hasSize(2);
    }

    // Guards against a beginning that is told once more after its endpoint has crashed.
    @Test
    void beginningOfAnAnswerIsToldOnce() {
        mMessenger.answered(new FeatureAnswer(List.of(new FeatureLevel(FEATURE, 0)), false));
        pass(1_000);
        assertThat(mSent).hasSize(1);
    }

    @Test
    void crashFoundByAnotherDaemonIsPassedOn() {
        final List<String> crashed = new ArrayList<>();
        mMessenger.onPeerCrash(crashed::add);
        mMessenger.endpointCrashed(
                new EndpointCrash(
                        "e-1",
                        List.of(new EndpointCrash.LostRun(List.of(new FeatureLevel(FEATURE, 1))))));
        mSent.forEach(mMessenger::receive);
        assertThat(crashed).containsExactly("e-1");
        assertThat(mState.suspects().level(FEATURE, NOW)).isEqualTo(1);
    }
}
