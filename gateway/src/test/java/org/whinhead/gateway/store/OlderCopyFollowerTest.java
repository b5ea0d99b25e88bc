package org.whinhead.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A log that returns from an older copy and grows past the position of a follower meanwhile. */
class OlderCopyFollowerTest {

    private final List<StoreRecord> mLog = new ArrayList<>();
    private final List<String> mSeen = new ArrayList<>();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private boolean mCovered;

    private void add(final String key, final String value) {
        mLog.add(new StoreRecord(key, Optional.of(value.getBytes()), mLog.size()));
    }

    /** A store without eras. */
    private final class Log implements MetadataStore {
        @Override
        public CompletableFuture<StorePage> newest(final StoreTopic topic) {
            return CompletableFuture.completedFuture(
                    new StorePage(List.copyOf(mLog), mLog.size(), false));
        }

        @Override
        public CompletableFuture<StorePage> read(
                final StoreTopic topic, final long from, final Duration wait) {
            if (from > mLog.size()) {
                return CompletableFuture.completedFuture(new StorePage(List.of(), from, true));
            }
            return CompletableFuture.completedFuture(
                    new StorePage(
                            List.copyOf(mLog.subList((int) from, mLog.size())),
                            mLog.size(),
                            false));
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

    private final class RecordingListener implements TopicListener {
        @Override
        public void onSnapshot(final List<StoreRecord> records, final long end) {
            onAppended(records);
        }

        @Override
        public void onAppended(final List<StoreRecord> records) {
            records.forEach(record -> mSeen.add(new String(record.value().orElseThrow())));
        }

        @Override
        public void onUnreachable(final Throwable cause) {
            // This store is always reachable.
        }
    }

    private final class SwitchedCoordinator implements ReadCoordinator {
        @Override
        public boolean isReader() {
            return false;
        }

        @Override
        public boolean isCovered(final StoreTopic topic) {
            return mCovered;
        }
    }

    // Guards against a daemon that keeps an old configuration without a warning: the store returns
    // from an older copy while others read for this daemon, and gives its offsets out again.
    @Test
    void changeUnderAnOffsetAlreadyReadIsSeen() {
        for (int index = 0; index < 10; index++) {
            add("config", "v" + index);
        }
        mChannel.freezeTime();
        final TopicFollower follower =
                new TopicFollower(
                        mChannel.eventLoop(),
                        new Log(),
                        StoreTopic.CONFIGURATION,
                        new RecordingListener(),
                        new TopicFollower.PollSchedule(Duration.ZERO, Duration.ofMillis(400)),
                        new SwitchedCoordinator());
        follower.start();
        mCovered = true;
        advanceSeconds(5);
        mLog.subList(7, 10).clear();
        add("config", "v9");
        add("config", "v10");
        add("other", "x");
        mCovered = false;
        advanceSeconds(10);
        assertThat(mSeen).contains("v10");
    }

    private void advanceSeconds(final int seconds) {
        for (int step = 0; step < seconds * 5; step++) {
            mChannel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
        }
    }
}
