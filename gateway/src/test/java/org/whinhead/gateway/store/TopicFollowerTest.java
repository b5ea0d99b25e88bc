package org.whinhead.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TopicFollowerTest {

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final CountingStore mStore = new CountingStore();
    private final TopicFollower mFollower =
            new TopicFollower(
                    mChannel.eventLoop(),
                    mStore,
                    StoreTopic.CONFIGURATION,
                    new IgnoringListener(),
                    new TopicFollower.PollSchedule(Duration.ZERO, Duration.ofMillis(400)),
                    new SoleReader());

    /** Counts calls, and refuses them while it is away. */
    private static final class CountingStore implements MetadataStore {
        private boolean mRefuses;
        private int mCalls;

        @Override
        public CompletableFuture<StorePage> newest(final StoreTopic topic) {
            mCalls++;
            return mRefuses
                    ? CompletableFuture.failedFuture(new IllegalStateException("refused"))
                    : CompletableFuture.completedFuture(new StorePage(List.of(), 0, false));
        }

        @Override
        public CompletableFuture<StorePage> read(
                final StoreTopic topic, final long from, final Duration wait) {
            return newest(topic);
        }

        @Override
        public CompletableFuture<Long> append(
                final StoreTopic topic, final String key, final byte[] value) {
            throw new IllegalStateException("a follower writes nothing");
        }

        @Override
        public CompletableFuture<OptionalLong> appendAt(
                final StoreTopic topic, final String key, final byte[] value, final long end) {
            throw new IllegalStateException("a follower writes nothing");
        }
    }

    private static final class IgnoringListener implements TopicListener {
        @Override
        public void onSnapshot(final List<StoreRecord> records, final long end) {
            // What was read does not matter here.
        }

        @Override
        public void onAppended(final List<StoreRecord> records) {
            // What was read does not matter here.
        }

        @Override
        public void onUnreachable(final Throwable cause) {
            // The calls are counted by the store.
        }
    }

    private static final class SoleReader implements ReadCoordinator {
        @Override
        public boolean isReader() {
            return false;
        }

        @Override
        public boolean isCovered(final StoreTopic topic) {
            return false;
        }
    }

    @BeforeEach
    void startWithFrozenTime() {
        mChannel.freezeTime();
        mFollower.start();
    }

    private void requestReadsForSeconds(final int seconds) {
        for (int step = 0; step < seconds * 5; step++) {
            mFollower.readNow();
            mChannel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
        }
    }

    @Test
    void readNowReadsAtOnce() {
        mFollower.readNow();

        assertThat(mStore.mCalls).isEqualTo(2);
    }

    /**
     * The store turns a third of the daemons away while keys are revoked. The readers tell them
     * five times a second that there is something new; each of them called as often, for nothing.
     */
    @Test
    void refusedDaemonKeepsRetryPause() {
        mStore.mRefuses = true;
        mFollower.readNow();
        mStore.mCalls = 0;

        requestReadsForSeconds(9);

        assertThat(mStore.mCalls).isLessThanOrEqualTo(9);
    }

    @Test
    void daemonReadsAgainOnceStoreAccepts() {
        mStore.mRefuses = true;
        requestReadsForSeconds(3);
        mStore.mRefuses = false;
        mStore.mCalls = 0;

        requestReadsForSeconds(2);

        assertThat(mStore.mCalls).isGreaterThanOrEqualTo(2);
    }
}
