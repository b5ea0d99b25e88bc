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
 * Who holds which key, from the records of one claim stream; the same on every daemon that read the
 * stream from an offset at least one window back.
 *
 * <p>The first claim in log order holds the key for at least the window and at most one generation
 * more, by the log's clock; a later claim of the same key is then taken as a new request. A
 * withdrawal by the holding attempt frees the key.
 */
public final class ClaimTable {

    private static final int GENERATIONS_PER_WINDOW = 6;

    private final long mGenerationMillis;
    private final int mMaxIncarnations;
    private final Deque<ClaimGeneration> mGenerations = new ArrayDeque<>();
    private RecordDeduplicator mDeduplicator;

    /**
     * Makes an empty table.
     *
     * @param window how long a key is held; less than the stream's retention
     * @param incarnations how many writers are remembered; the same on every daemon
     */
    public ClaimTable(final Duration window, final int incarnations) {
        Arguments.requirePositive(window, "window");
        mGenerationMillis =
                Math.max(
                        1,
                        (window.toMillis() + GENERATIONS_PER_WINDOW - 1) / GENERATIONS_PER_WINDOW);
        mMaxIncarnations = incarnations;
        mDeduplicator = new RecordDeduplicator(incarnations);
    }

    /**
     * Forgets everything, because the stream's records expired before they were read; the stream
     * must then be read again from its oldest record.
     */
    public void reset() {
        mGenerations.clear();
        mDeduplicator = new RecordDeduplicator(mMaxIncarnations);
    }

    /**
     * Applies a record of the stream; records come in offset order.
     *
     * @param entry the record
     * @param listener told the holder after each claim of the record
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

    private void rotateGenerations(final Instant at) {
        final long span = Math.floorDiv(at.toEpochMilli(), mGenerationMillis);
        if (mGenerations.isEmpty() || span > mGenerations.getLast().index()) {
            mGenerations.add(new ClaimGeneration(span));
            while (mGenerations.getFirst().index() < span - GENERATIONS_PER_WINDOW) {
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
        final int at = current.findSlot(key);
        if (at >= 0) {
            current.setAttemptAt(at, attempt);
        } else {
            current.add(key, attempt);
        }
        return attempt;
    }

    private void withdraw(final ClaimKey key, final long attempt) {
        for (final ClaimGeneration generation : mGenerations) {
            final int at = generation.findSlot(key);
            if (at >= 0 && generation.attemptAt(at) == attempt) {
                generation.setAttemptAt(at, ClaimKey.WITHDRAWN);
            }
        }
    }

    /**
     * Returns the attempt that holds a key, for a look before a claim is written.
     *
     * @param key the key
     * @param now the daemon's time; that a key's window is over is left to the log to decide
     * @return the attempt, or empty if the key is free or may be by now
     */
    public OptionalLong holder(final ClaimKey key, final Instant now) {
        return holder(key, Math.floorDiv(now.toEpochMilli(), mGenerationMillis));
    }

    private OptionalLong holder(final ClaimKey key, final long span) {
        for (final ClaimGeneration generation : mGenerations) {
            final int at = generation.findSlot(key);
            if (at >= 0
                    && generation.index() >= span - GENERATIONS_PER_WINDOW
                    && generation.attemptAt(at) != ClaimKey.WITHDRAWN) {
                return OptionalLong.of(generation.attemptAt(at));
            }
        }
        return OptionalLong.empty();
    }

    /** Returns how many keys are remembered, withdrawn ones among them. */
    public int size() {
        return mGenerations.stream().mapToInt(ClaimGeneration::size).sum();
    }

    /** Returns the bytes of the arrays that the keys stand in. */
    public long memoryBytes() {
        return mGenerations.stream().mapToLong(ClaimGeneration::memoryBytes).sum();
    }

    /** Told how claims were decided. */
    @FunctionalInterface
    public interface ClaimListener {

        /**
         * A claim was read from the stream.
         *
         * @param key the key
         * @param attempt the attempt that claimed it
         * @param holder the attempt that holds it
         */
        void onClaim(ClaimKey key, long attempt, long holder);
    }
}
