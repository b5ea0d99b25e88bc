package org.whinhead.gateway.duty;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreRejectionException;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.store.StorePosition;

/** The topic of the lease in a store that may be away and may return from an older copy. */
final class LeaseStore {

    private static final Duration TIMEOUT = Duration.ofMillis(1_200);
    private static final int SERVICE_UNAVAILABLE = 503;

    private final InstantSource mClock;
    private final List<Appended> mLog = new ArrayList<>();
    private long mEra;
    private boolean mAway;

    private record Appended(StoreRecord record, Instant at) {}

    /** What the store answers to an append, with its era. */
    private record Answer(OptionalLong end, long era) {}

    LeaseStore(final InstantSource clock) {
        mClock = clock;
    }

    /** Rejects all calls until the store returns. */
    void leave() {
        mAway = true;
    }

    /** Returns from a copy: what was appended after a time is gone. */
    void returnToCopy(final Instant time) {
        mAway = false;
        mEra++;
        mLog.removeIf(appended -> appended.at().isAfter(time));
    }

    /** Returns the end of the topic; empty while the store is away. */
    OptionalLong position() {
        return mAway ? OptionalLong.empty() : OptionalLong.of(StorePosition.of(mEra, mLog.size()));
    }

    /** Returns the store as one daemon reaches it. */
    MetadataStore access(final HeldUpLink link) {
        return new Access(link);
    }

    private void requirePresent() {
        if (mAway) {
            throw new CompletionException(new StoreRejectionException(SERVICE_UNAVAILABLE));
        }
    }

    private StorePage newest() {
        requirePresent();
        final List<StoreRecord> records =
                mLog.isEmpty() ? List.of() : List.of(mLog.get(mLog.size() - 1).record());
        return new StorePage(records, StorePosition.of(mEra, mLog.size()), false);
    }

    private Answer append(final String key, final byte[] value, final long end) {
        requirePresent();
        if (StorePosition.offset(end) != mLog.size()) {
            return new Answer(OptionalLong.empty(), mEra);
        }
        final StoreRecord record = new StoreRecord(key, Optional.of(value), end);
        mLog.add(new Appended(record, mClock.instant()));
        return new Answer(OptionalLong.of(StorePosition.of(mEra, mLog.size())), mEra);
    }

    private final class Access implements MetadataStore {
        private final HeldUpLink mLink;

        private Access(final HeldUpLink link) {
            mLink = link;
        }

        @Override
        public CompletableFuture<StorePage> newest(final StoreTopic topic) {
            return mLink.call(LeaseStore.this::newest, TIMEOUT);
        }

        @Override
        public CompletableFuture<StorePage> read(
                final StoreTopic topic, final long from, final Duration wait) {
            throw new UnsupportedOperationException("read");
        }

        @Override
        public CompletableFuture<Long> append(
                final StoreTopic topic, final String key, final byte[] value) {
            throw new UnsupportedOperationException("append");
        }

        /** A record that is appended at the same offset of a later era counts as refused. */
        @Override
        public CompletableFuture<OptionalLong> appendAt(
                final StoreTopic topic, final String key, final byte[] value, final long end) {
            return mLink.call(() -> LeaseStore.this.append(key, value, end), TIMEOUT)
                    .thenApply(
                            answer ->
                                    answer.era() == StorePosition.era(end)
                                            ? answer.end()
                                            : OptionalLong.empty());
        }
    }
}
