package org.whinhead.state.claim;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.OptionalLong;
import org.whinhead.api.Arguments;
import org.whinhead.state.fold.SequenceLedger;
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

    private static final int GENERATIONS = 6;

    private final long mSpanMillis;
    private final int mIncarnations;
    private final Deque<ClaimGeneration> mGenerations = new ArrayDeque<>();
    private SequenceLedger mSequences;

    /**
     * Makes an empty table.
     *
     * @param window how long a key is held; less than the stream's retention
     * @param incarnations how many writers are remembered; the same on every daemon
     */
    public ClaimTable(final Duration window, final int incarnations) {
        Arguments.requirePositive(window, "window");
        mSpanMillis = Math.max(1, (window.toMillis() + GENERATIONS - 1) / GENERATIONS);
        mIncarnations = incarnations;
        mSequences = new SequenceLedger(incarnations);
    }

    /**
     * Forgets everything, because the stream's records expired before they were read; the stream
     * must then be read again from its oldest record.
     */
    public void reset() {
        mGenerations.clear();
        mSequences = new SequenceLedger(mIncarnations);
    }

    /**
     * Applies a record of the stream; records come in offset order.
     *
     * @param entry the record
     * @param listener told the holder after each claim of the record
     */
    public void apply(final LogEntry entry, final Listener listener) {
        Objects.requireNonNull(listener, "listener");
        if (!mSequences.admit(entry.record().id())
                || !(entry.record() instanceof LogRecord.ClaimBatch batch)) {
            return;
        }
        rotate(entry.at());
        for (final ClaimEntry claim : batch.entries()) {
            final ClaimKey key = new ClaimKey(claim.keyHigh(), claim.keyLow());
            if (claim.action() == ClaimEntry.Action.CLAIM) {
                listener.decided(key, claim.attempt(), claim(key, claim.attempt()));
            } else {
                withdraw(key, claim.attempt());
            }
        }
    }

    private void rotate(final Instant at) {
        final long span = Math.floorDiv(at.toEpochMilli(), mSpanMillis);
        if (mGenerations.isEmpty() || span > mGenerations.getLast().span()) {
            mGenerations.add(new ClaimGeneration(span));
            while (mGenerations.getFirst().span() < span - GENERATIONS) {
                mGenerations.removeFirst();
            }
        }
    }

    private long claim(final ClaimKey key, final long attempt) {
        final OptionalLong holder = holder(key, mGenerations.getLast().span());
        if (holder.isPresent()) {
            return holder.getAsLong();
        }
        final ClaimGeneration current = mGenerations.getLast();
        final int at = current.find(key);
        if (at >= 0) {
            current.setAttempt(at, attempt);
        } else {
            current.add(key, attempt);
        }
        return attempt;
    }

    private void withdraw(final ClaimKey key, final long attempt) {
        for (final ClaimGeneration generation : mGenerations) {
            final int at = generation.find(key);
            if (at >= 0 && generation.attempt(at) == attempt) {
                generation.setAttempt(at, ClaimKey.WITHDRAWN);
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
        return holder(key, Math.floorDiv(now.toEpochMilli(), mSpanMillis));
    }

    private OptionalLong holder(final ClaimKey key, final long span) {
        for (final ClaimGeneration generation : mGenerations) {
            final int at = generation.find(key);
            if (at >= 0
                    && generation.span() >= span - GENERATIONS
                    && generation.attempt(at) != ClaimKey.WITHDRAWN) {
                return OptionalLong.of(generation.attempt(at));
            }
        }
        return OptionalLong.empty();
    }

    /** Returns how many keys are remembered, withdrawn ones among them. */
    public int size() {
        return mGenerations.stream().mapToInt(ClaimGeneration::size).sum();
    }

    /** Returns the bytes of the arrays that the keys stand in. */
    public long bytes() {
        return mGenerations.stream().mapToLong(ClaimGeneration::bytes).sum();
    }

    /** Told how claims were decided. */
    @FunctionalInterface
    public interface Listener {

        /**
         * A claim was read from the stream.
         *
         * @param key the key
         * @param attempt the attempt that claimed it
         * @param holder the attempt that holds it
         */
        void decided(ClaimKey key, long attempt, long holder);
    }
}
