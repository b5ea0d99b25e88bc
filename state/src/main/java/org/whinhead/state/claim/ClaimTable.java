package org.whinhead.state.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.OptionalLong;
import org.whinhead.api.Arguments;
import org.whinhead.state.fold.RecordDeduplicator;
import org.whinhead.state.record.ClaimEntry;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;

/**
 * The holder of each claimed key, from the records of one claim stream. All daemons that read the
 * stream from an offset at least one window back have the same table.
 *
 * <p>The first claim in log order holds the key for at least the window and at most one generation
 * more, by the log's clock; after that, a claim of the same key is a new request. A withdrawal by
 * the holding attempt frees the key.
 */
public final class ClaimTable {

    private static final int GENERATIONS_PER_WINDOW = 6;

    private final long mGenerationMillis;
    private final int mMaxIncarnations;
    private final Deque<ClaimGeneration> mGenerations = new ArrayDeque<>();
    private RecordDeduplicator mDeduplicator;

    /**
     * Creates an empty table.
     *
     * @param window the time for which a key is held; less than the stream's retention
     * @param maxIncarnations the highest number of writers remembered, at least 1; the same on
     *     every daemon
     */
    public ClaimTable(final Duration window, final int maxIncarnations) {
        Arguments.requirePositive(window, "window");
        mGenerationMillis =
                Math.max(
                        1,
                        (window.toMillis() + GENERATIONS_PER_WINDOW - 1) / GENERATIONS_PER_WINDOW);
        mMaxIncarnations = maxIncarnations;
        mDeduplicator = new RecordDeduplicator(maxIncarnations);
    }

    /**
     * Removes all claims after records of the stream expired before they were read. The caller then
     * reads the stream from its oldest record.
     */
    public void reset() {
        mGenerations.clear();
        mDeduplicator = new RecordDeduplicator(mMaxIncarnations);
    }

    /**
     * Applies a record of the stream. The caller passes records in offset order.
     *
     * @param entry the record
     * @param listener the receiver of the holder after each claim of the record
     */
    public void apply(final LogEntry entry, final ClaimListener listener) {
        Objects.requireNonNull(listener, "listener");
        if (!mDeduplicator.admit(entry.record().id())
                || !(entry.record() instanceof LogRecord.ClaimBatch batch)) {
            return;
        }
        rotateGenerations(entry.at());
        for (final ClaimEntry claim : batch.entries()) {
            final ClaimKey key = new ClaimKey(claim.keyHigh(), claim.keyLow());
            if (claim.action() == ClaimEntry.Action.CLAIM) {
                listener.onClaim(key, claim.attempt(), claim(key, claim.attempt()));
            } else {
                withdraw(key, claim.attempt());
            }
        }
    }

    private void rotateGenerations(final Instant logTime) {
        final long index = Math.floorDiv(logTime.toEpochMilli(), mGenerationMillis);
        if (mGenerations.isEmpty() || index > mGenerations.getLast().index()) {
            mGenerations.add(new ClaimGeneration(index));
            while (mGenerations.getFirst().index() < index - GENERATIONS_PER_WINDOW) {
                mGenerations.removeFirst();
            }
        }
    }

    private long claim(final ClaimKey key, final long attempt) {
        final OptionalLong holder = holder(key, mGenerations.getLast().index());
        if (holder.isPresent()) {
            return holder.getAsLong();
        }
        final ClaimGeneration current = mGenerations.getLast();
        final int slot = current.findSlot(key);
        if (slot >= 0) {
            current.setAttemptAt(slot, attempt);
        } else {
            current.add(key, attempt);
        }
        return attempt;
    }

    private void withdraw(final ClaimKey key, final long attempt) {
        for (final ClaimGeneration generation : mGenerations) {
            final int slot = generation.findSlot(key);
            if (slot >= 0 && generation.attemptAt(slot) == attempt) {
                generation.setAttemptAt(slot, ClaimKey.WITHDRAWN);
            }
        }
    }

    /**
     * Returns the attempt that holds a key, for a check before a claim is written.
     *
     * @param key the key
     * @param now the daemon's time, an estimate of the log's time, which alone decides when a key's
     *     window ends
     * @return the attempt, or empty if the key is free or its window may have ended
     */
    public OptionalLong holder(final ClaimKey key, final Instant now) {
        return holder(key, Math.floorDiv(now.toEpochMilli(), mGenerationMillis));
    }

    private OptionalLong holder(final ClaimKey key, final long index) {
        for (final ClaimGeneration generation : mGenerations) {
            final int slot = generation.findSlot(key);
            if (slot >= 0
                    && generation.index() >= index - GENERATIONS_PER_WINDOW
                    && generation.attemptAt(slot) != ClaimKey.WITHDRAWN) {
                return OptionalLong.of(generation.attemptAt(slot));
            }
        }
        return OptionalLong.empty();
    }

    /** Returns the number of keys in the table, including withdrawn ones. */
    public int size() {
        return mGenerations.stream().mapToInt(ClaimGeneration::size).sum();
    }

    /** Returns the size in bytes of the arrays that hold the keys. */
    public long memoryBytes() {
        return mGenerations.stream().mapToLong(ClaimGeneration::memoryBytes).sum();
    }

    /** Receives the holder of the key after each claim. */
    @FunctionalInterface
    public interface ClaimListener {

        /**
         * Handles a claim that was read from the stream.
         *
         * @param key the key
         * @param attempt the attempt that claimed it
         * @param holder the attempt that holds it
         */
        void onClaim(ClaimKey key, long attempt, long holder);
    }
}
