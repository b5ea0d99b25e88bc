package org.whinhead.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TopicFollowerTest {

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final CountingStore mStore = new CountingStore();
    private final FailingListener mListener = new FailingListener();
    private final TopicFollower mFollower =
            new TopicFollower(
                    mChannel.eventLoop(),
                    mStore,
                    StoreTopic.CONFIGURATION,
                    mListener,
                    new TopicFollower.PollSchedule(Duration.ZERO, Duration.ofMillis(400)),
                    new SoleReader());

    /** Counts the calls and can refuse them. */
    private static final class CountingStore implements MetadataStore {
        private boolean mRefuses;
        private boolean mLosesAnswers;
        private boolean mFailsAtPosition;
        private List<StoreRecord> mAppended = List.of();
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
            if (mLosesAnswers) {
                mCalls++;
                return new CompletableFuture<>();
            }
            if (mFailsAtPosition) {
                mCalls++;
                return CompletableFuture.failedFuture(new IllegalStateException("damaged"));
            }
            if (!mAppended.isEmpty() && !mRefuses) {
                mCalls++;
                return CompletableFuture.completedFuture(new StorePage(mAppended, 1, false));
            }
            return newest(topic);
        }

        @Override
        public CompletableFuture<Long> append(
                final StoreTopic topic, final String key, final byte[] value) {
            throw new IllegalStateException("a follower must not write");
        }

        @Override
        public CompletableFuture<OptionalLong> appendAt(
                final StoreTopic topic, final String key, final byte[] value, final long end) {
            throw new IllegalStateException("a follower must not write");
        }
    }

    /** Counts the snapshots and can fail to apply what it receives. */
    private static final class FailingListener implements TopicListener {
        private boolean mFails;
        private int mSnapshots;

        private void apply() {
            if (mFails) {
                throw new IllegalStateException("unexpected record");
            }
        }

        @Override
        public void onSnapshot(final List<StoreRecord> records, final long end) {
            apply();
            mSnapshots++;
        }

        @Override
        public void onAppended(final List<StoreRecord> records) {
            apply();
        }

        @Override
        public void onUnreachable(final Throwable cause) {
            // These tests only count calls.
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

    // Guards against an entry that is used for good although the store has dropped it without a
    // record, which no read of new records shows.
    @Test
    void readNewestListsAtOnce() {
        mFollower.readNewest();

        assertThat(mListener.mSnapshots).isEqualTo(2);
        assertThat(mStore.mCalls).isEqualTo(2);
    }

    /**
     * Guards against useless billed calls: while keys are revoked, the store refuses a third of the
     * daemons. The readers' digests report new records five times a second, and each refused daemon
     * called the store as often.
     */
    @Test
    void refusedDaemonKeepsRetryPause() {
        mStore.mRefuses = true;
        mFollower.readNow();
        mStore.mCalls = 0;

        requestReadsForSeconds(9);

        assertThat(mStore.mCalls).isLessThanOrEqualTo(9);
    }

    /**
     * Guards against a daemon that keeps an old configuration until it is restarted: an exception
     * while records are applied must not end the reading of the topic.
     */
    @Test
    void topicIsReadAgainAfterRecordsThatCannotBeApplied() {
        mListener.mFails = true;
        mFollower.readNow();
        mListener.mFails = false;
        mListener.mSnapshots = 0;

        mChannel.advanceTimeBy(2, TimeUnit.SECONDS);
        mChannel.runScheduledPendingTasks();

        assertThat(mListener.mSnapshots).isEqualTo(1);
    }

    /**
     * Guards against a confirmed configuration that takes effect only after the timeout of a read:
     * the answer to a read in progress is lost, and another daemon tells of a newer version.
     */
    @Test
    void newsDuringUnansweredReadCausesAnotherRead() {
        mStore.mLosesAnswers = true;
        mFollower.readNow();
        mStore.mLosesAnswers = false;
        mStore.mCalls = 0;

        requestReadsForSeconds(1);

        assertThat(mStore.mCalls).isPositive();
    }

    // Guards against work for an endpoint that is gone: its entry was dropped in an outage, of
    // which
    // there is no record, and the first read after the outage found records of other keys.
    @Test
    void newestRecordsAreReadAfterOutage() {
        mStore.mRefuses = true;
        requestReadsForSeconds(3);
        mStore.mRefuses = false;
        mStore.mAppended = List.of(new StoreRecord("other", Optional.of(new byte[1]), 0));
        mListener.mSnapshots = 0;

        requestReadsForSeconds(3);

        assertThat(mListener.mSnapshots).isEqualTo(1);
    }

    // Guards against a topic that is never read on: a record is longer than the answer to a read,
    // and reading again from its position fails each time.
    @Test
    void topicIsReadBehindRecordThatCannotBeRead() {
        mStore.mFailsAtPosition = true;
        mFollower.readNow();
        mListener.mSnapshots = 0;

        mChannel.advanceTimeBy(1, TimeUnit.SECONDS);
        mChannel.runScheduledPendingTasks();
        assertThat(mListener.mSnapshots).isEqualTo(1);
    }

    // Guards against a billed call for each digest while the store answers late.
    @Test
    void unansweredReadIsRepeatedOnlyOnce() {
        mStore.mLosesAnswers = true;
        mFollower.readNow();
        mStore.mCalls = 0;

        requestReadsForSeconds(3);

        assertThat(mStore.mCalls).isEqualTo(1);
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
