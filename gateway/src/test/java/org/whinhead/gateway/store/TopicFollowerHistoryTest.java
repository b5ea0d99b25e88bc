package org.whinhead.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.whinhead.serving.store.StorePosition;

class TopicFollowerHistoryTest {

    private static final String CONFIGURATION = "config";
    private static final int STEP_MILLIS = 100;
    private static final int CALL_TIMEOUT_MILLIS = 1_200;

    private static final int DIGEST_MILLIS = 400;

    /** The time in which a change takes effect. */
    private static final int APPLY_MILLIS = 2_000;

    /** The time after a disturbance in which all that was changed meanwhile takes effect. */
    private static final int CALM_MILLIS = 3_000 + APPLY_MILLIS;

    /** What happens to the store, and to a follower that others may read for. */
    enum Event {
        CHANGE,
        OTHER_KEY,
        OLDER_COPY,
        OUTAGE,
        RETURN_FROM_OUTAGE,
        LOSE_NEXT_ANSWER,
        OTHERS_READ,
        OTHERS_ARE_SILENT,
        NEWS,
        PAUSE
    }

    /** A log with eras, whose operator writes the newest configuration again after a return. */
    private final class Log implements MetadataStore {
        private final List<StoreRecord> mRecords = new ArrayList<>();
        private long mEra;
        private long mVersion;
        private boolean mDown;
        private boolean mLosesAnswer;

        private void append(final String key, final long version) {
            final long position = StorePosition.of(mEra, mRecords.size());
            final byte[] value = Long.toString(version).getBytes();
            mRecords.add(new StoreRecord(key, Optional.of(value), position));
        }

        private void change() {
            mVersion++;
            append(CONFIGURATION, mVersion);
        }

        private void returnToCopy(final int lost) {
            final List<StoreRecord> kept =
                    List.copyOf(mRecords.subList(0, Math.max(mRecords.size() - lost, 0)));
            mEra++;
            mRecords.clear();
            kept.forEach(
                    record ->
                            append(
                                    record.key(),
                                    Long.parseLong(new String(record.value().orElseThrow()))));
            append(CONFIGURATION, mVersion);
        }

        private long end() {
            return StorePosition.of(mEra, mRecords.size());
        }

        private CompletableFuture<StorePage> lostAnswer() {
            final CompletableFuture<StorePage> answer = new CompletableFuture<>();
            mChannel.eventLoop()
                    .schedule(
                            () -> answer.completeExceptionally(new IllegalStateException("lost")),
                            CALL_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
            return answer;
        }

        private CompletableFuture<StorePage> answer(final StorePage page) {
            if (mDown) {
                return CompletableFuture.failedFuture(new IllegalStateException("down"));
            }
            if (mLosesAnswer) {
                mLosesAnswer = false;
                return lostAnswer();
            }
            return CompletableFuture.completedFuture(page);
        }

        @Override
        public CompletableFuture<StorePage> newest(final StoreTopic topic) {
            final Map<String, StoreRecord> newest = new HashMap<>();
            mRecords.forEach(record -> newest.put(record.key(), record));
            return answer(new StorePage(List.copyOf(newest.values()), end(), false));
        }

        @Override
        public CompletableFuture<StorePage> read(
                final StoreTopic topic, final long from, final Duration wait) {
            final int offset = (int) StorePosition.offset(from);
            if (StorePosition.era(from) != mEra || offset > mRecords.size()) {
                return answer(new StorePage(List.of(), StorePosition.of(mEra, 0), true));
            }
            return answer(
                    new StorePage(
                            List.copyOf(mRecords.subList(offset, mRecords.size())), end(), false));
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

    /** Keeps the newest version, as a daemon does, and the version that was read last. */
    private static final class Listener implements TopicListener {
        private long mVersion;

        @Override
        public void onSnapshot(final List<StoreRecord> records, final long end) {
            onAppended(records);
        }

        @Override
        public void onAppended(final List<StoreRecord> records) {
            for (final StoreRecord record : records) {
                if (record.key().equals(CONFIGURATION)) {
                    final long read = Long.parseLong(new String(record.value().orElseThrow()));
                    mVersion = Math.max(mVersion, read);
                }
            }
        }

        @Override
        public void onUnreachable(final Throwable cause) {
            // The version in force stays.
        }
    }

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final Log mLog = new Log();
    private final Listener mListener = new Listener();
    private boolean mOthersRead;

    /** Others read for this daemon, and tell it of a newer version. */
    private final class Coordinator implements ReadCoordinator {
        @Override
        public boolean isReader() {
            return false;
        }

        @Override
        public boolean isCovered(final StoreTopic topic) {
            return mOthersRead && !mLog.mDown && mListener.mVersion == mLog.mVersion;
        }
    }

    private TopicFollower startFollower() {
        mChannel.freezeTime();
        final TopicFollower follower =
                new TopicFollower(
                        mChannel.eventLoop(),
                        mLog,
                        StoreTopic.CONFIGURATION,
                        mListener,
                        new TopicFollower.PollSchedule(Duration.ZERO, Duration.ofMillis(20)),
                        new Coordinator());
        follower.start();
        return follower;
    }

    private void advanceMillis(final int millis) {
        for (int step = 0; step < millis; step += STEP_MILLIS) {
            mChannel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
        }
    }

    /** Advances the time while digests of a newer version arrive. */
    private void advanceWithNews(final TopicFollower follower, final int millis) {
        for (int passed = 0; passed < millis; passed += DIGEST_MILLIS) {
            if (mListener.mVersion < mLog.mVersion) {
                follower.readNow();
            }
            advanceMillis(DIGEST_MILLIS);
        }
    }

    private void play(final TopicFollower follower, final Event event, final int amount) {
        switch (event) {
            case CHANGE -> mLog.change();
            case OTHER_KEY -> mLog.append("other", amount);
            case OLDER_COPY -> mLog.returnToCopy(amount);
            case OUTAGE -> mLog.mDown = true;
            case RETURN_FROM_OUTAGE -> mLog.mDown = false;
            case LOSE_NEXT_ANSWER -> mLog.mLosesAnswer = true;
            case OTHERS_READ -> mOthersRead = true;
            case OTHERS_ARE_SILENT -> mOthersRead = false;
            case NEWS -> follower.readNow();
            default -> advanceMillis(amount * STEP_MILLIS);
        }
    }

    // Guards against a daemon that keeps an old configuration, whatever happened to the store: once
    // it is calm and others tell of a newer version, that version is in force within 2 s.
    @Property(tries = 300, seed = "47")
    void newestVersionIsReadAfterAnyHistory(
            @ForAll @Size(max = 40) final List<Event> events,
            @ForAll @Size(40) final List<@IntRange(min = 1, max = 6) Integer> amounts) {
        final TopicFollower follower = startFollower();
        for (int index = 0; index < events.size(); index++) {
            play(follower, events.get(index), amounts.get(index));
        }
        mLog.mDown = false;
        mLog.mLosesAnswer = false;
        advanceWithNews(follower, CALM_MILLIS);
        assertThat(mListener.mVersion).isEqualTo(mLog.mVersion);
        mLog.change();
        advanceWithNews(follower, APPLY_MILLIS);
        assertThat(mListener.mVersion).isEqualTo(mLog.mVersion);
    }
}
