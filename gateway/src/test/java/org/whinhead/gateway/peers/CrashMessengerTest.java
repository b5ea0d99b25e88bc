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
import org.whinhead.serving.crash.RequestIdentity;

class CrashMessengerTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final RequestIdentity REQUEST = new RequestIdentity(1, 2, 3);

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
        mMessenger.sendAnswered(REQUEST);
        pass(1_000);
        assertThat(mSent).hasSize(4).allMatch(Datagram::hasRequestAnswered);
    }

    // Guards against daemons that refuse a request which most others serve: an endpoint crashed
    // under it again, and a repeat of the answer from before ended the suspicion at most of them.
    @Test
    void answerIsNotRepeatedOnceTheRequestIsSuspectedAgain() {
        mMessenger.sendAnswered(REQUEST);
        pass(200);
        mState.suspects().applyPeerCrash(REQUEST, "e-1", 1, NOW);
        pass(1_000);
        assertThat(mSent).hasSize(2);
    }
}
