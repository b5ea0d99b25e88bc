package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;

/** The log of the endpoints' records, with answers that take their time, and outages. */
final class FleetStore {

    private static final int MAX_ANSWER_MILLIS = 30;

    /** One answer in so many takes far longer than the others. */
    private static final int SLOW_ANSWERS = 50;

    private static final int SLOW_ANSWER_MILLIS = 350;

    private final EventLoop mLoop;
    private final Random mRandom;
    private final List<StoreRecord> mLog = new ArrayList<>();
    private final Map<String, StoreRecord> mListed = new LinkedHashMap<>();
    private boolean mDown;

    FleetStore(final EventLoop loop, final Random random) {
        mLoop = loop;
        mRandom = random;
    }

    boolean isDown() {
        return mDown;
    }

    void setDown(final boolean down) {
        mDown = down;
    }

    void put(final String id, final String value) {
        final StoreRecord record =
                new StoreRecord(
                        id, Optional.of(value.getBytes(StandardCharsets.UTF_8)), mLog.size());
        mLog.add(record);
        mListed.put(id, record);
    }

    void remove(final String id) {
        if (mListed.remove(id) != null) {
            mLog.add(new StoreRecord(id, Optional.empty(), mLog.size()));
        }
    }

    /** Drops an entry without a record, as the store does around an outage. */
    void drop(final String id) {
        mListed.remove(id);
    }

    Set<String> listed() {
        return mListed.keySet();
    }

    /** Returns the store as one daemon reaches it. */
    Access access() {
        return new Access();
    }

    /** A daemon's way to the store; counts its reads. */
    final class Access implements MetadataStore {
        private int mReads;
        private boolean mRefused;

        int reads() {
            return mReads;
        }

        void setRefused(final boolean refused) {
            mRefused = refused;
        }

        @Override
        public CompletableFuture<StorePage> newest(final StoreTopic topic) {
            return answer(() -> new StorePage(List.copyOf(mListed.values()), mLog.size(), false));
        }

        @Override
        public CompletableFuture<StorePage> read(
                final StoreTopic topic, final long from, final Duration wait) {
            return answer(
                    () ->
                            new StorePage(
                                    List.copyOf(mLog.subList((int) from, mLog.size())),
                                    mLog.size(),
                                    false));
        }

        private CompletableFuture<StorePage> answer(final Supplier<StorePage> page) {
            mReads++;
            final CompletableFuture<StorePage> answer = new CompletableFuture<>();
            final int onWay = 1 + mRandom.nextInt(MAX_ANSWER_MILLIS / 2);
            final int back =
                    mRandom.nextInt(SLOW_ANSWERS) == 0
                            ? SLOW_ANSWER_MILLIS
                            : 1 + mRandom.nextInt(MAX_ANSWER_MILLIS / 2);
            after(
                    onWay,
                    () -> {
                        if (mDown || mRefused) {
                            after(
                                    back,
                                    () ->
                                            answer.completeExceptionally(
                                                    new IllegalStateException("unavailable")));
                        } else {
                            final StorePage read = page.get();
                            after(back, () -> answer.complete(read));
                        }
                    });
            return answer;
        }

        private void after(final int millis, final Runnable task) {
            mLoop.schedule(task, millis, TimeUnit.MILLISECONDS);
        }

        @Override
        public CompletableFuture<Long> append(
                final StoreTopic topic, final String key, final byte[] value) {
            throw new IllegalStateException("daemons don't write endpoints");
        }

        @Override
        public CompletableFuture<OptionalLong> appendAt(
                final StoreTopic topic, final String key, final byte[] value, final long end) {
            throw new IllegalStateException("daemons don't write endpoints");
        }
    }
}
