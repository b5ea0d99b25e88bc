package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CheckResultTest {

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<Boolean> mReceived = new ArrayList<>();
    private final CheckResult mResult =
            new CheckResult(mChannel.eventLoop(), Duration.ofMillis(50), mReceived::add);

    private void pass(final int millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }

    @Test
    void resultIsReceivedOnce() {
        mResult.set(true);
        mResult.set(false);
        pass(60);
        assertThat(mReceived).containsExactly(true);
    }

    // Guards against a request that waits for a check without end.
    @Test
    void resultIsFalseAfterTheLimit() {
        pass(60);
        mResult.set(true);
        assertThat(mReceived).containsExactly(false);
    }
}
