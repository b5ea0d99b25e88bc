package org.whinhead.state.claim;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;
import org.whinhead.state.record.ClaimEntry;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordSink;

/**
 * Claims requests through one claim stream, so that a non-idempotent request runs at most once.
 * Single-threaded, without I/O or a clock of its own.
 *
 * <p>A claim is granted only when it is read back from the stream: by then every earlier claim was
 * read, and a lost response to the append does not matter.
 *
 * <p>The outcome of a claim may still be unknown at its deadline. The attempt is then reported as
 * not granted and is never dispatched, even if its record is appended later. Such a record would
 * block the key for retries although the attempt never ran, so the same writer appends a
 * withdrawal. It frees the key if the claim precedes it in the stream; a claim that is appended
 * after it has a lower sequence and is dropped.
 */
public final class ClaimCoordinator {

    private final ClaimTable mTable;
    private final RecordSink mSink;
    private final ClaimLimits mLimits;
    private final ClaimDecisionListener mListener;
    private final Map<Long, Pending> mPending = new LinkedHashMap<>();
    private final Deque<Outgoing> mOutgoing = new ArrayDeque<>();
    private final Set<Long> mWithdrawnAttempts = new LinkedHashSet<>();

    /**
     * Creates a coordinator.
     *
     * @param table the stream's claim table; only this coordinator applies records to it
     * @param sink the writer of the stream
     * @param limits the time and size limits
     * @param listener the receiver of the decisions
     */
    public ClaimCoordinator(
            final ClaimTable table,
            final RecordSink sink,
            final ClaimLimits limits,
            final ClaimDecisionListener listener) {
        mTable = Objects.requireNonNull(table, "table");
        mSink = Objects.requireNonNull(sink, "sink");
        mLimits = Objects.requireNonNull(limits, "limits");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Claims a key for an attempt. The listener receives exactly one decision, possibly within this
     * call.
     *
     * @param key the request's key
     * @param attempt the hash that identifies the attempt; never used before
     * @param deadline the time at which an undecided claim ends as unavailable
     * @param now the time
     */
    public void claim(
            final ClaimKey key, final long attempt, final Instant deadline, final Instant now) {
        final OptionalLong holder = mTable.holder(key, now);
        if (holder.isPresent() && !mWithdrawnAttempts.contains(holder.getAsLong())) {
            mListener.onDecision(key, attempt, ClaimResult.HELD_ELSEWHERE, now);
            return;
        }
        if (mOutgoing.size() >= mLimits.maxPending()
                || mPending.size() >= mLimits.maxPending()
                || mTable.size() >= mLimits.maxKeys()) {
            mListener.onDecision(key, attempt, ClaimResult.UNAVAILABLE, now);
            return;
        }
        mPending.put(attempt, new Pending(key, deadline, now.plus(mLimits.grantValidity()), false));
        mOutgoing.add(new Outgoing(ClaimEntry.Action.CLAIM, key, attempt, now));
    }

    /**
     * Frees the key of an attempt that was granted, was never dispatched and never will be.
     *
     * @param key the request's key
     * @param attempt the attempt
     * @param now the time
     */
    public void withdraw(final ClaimKey key, final long attempt, final Instant now) {
        mOutgoing.add(new Outgoing(ClaimEntry.Action.WITHDRAW, key, attempt, now));
        // This coordinator sends a retry of the key after the withdrawal, so it accepts the retry
        // before the withdrawal is read back.
        mWithdrawnAttempts.add(attempt);
        if (mWithdrawnAttempts.size() > mLimits.maxPending()) {
            mWithdrawnAttempts.remove(mWithdrawnAttempts.iterator().next());
        }
    }

    /**
     * Applies the next record of the stream and reports the claims that it decides.
     *
     * @param entry the record
     * @param now the time
     */
    public void apply(final LogEntry entry, final Instant now) {
        mTable.apply(entry, (key, attempt, holder) -> resolve(attempt, holder, now));
    }

    private void resolve(final long attempt, final long holder, final Instant now) {
        final Pending pending = mPending.get(attempt);
        // A daemon may be paused past the deadline. The caller was or will be informed that the
        // attempt did not run, so the claim must not be granted.
        if (pending == null || !now.isBefore(pending.deadline())) {
            return;
        }
        mPending.remove(attempt);
        final ClaimResult result =
                holder == attempt ? ClaimResult.GRANTED : ClaimResult.HELD_ELSEWHERE;
        mListener.onDecision(pending.key(), attempt, result, pending.dispatchBy());
    }

    /**
     * Ends claims whose deadline has passed and sends the queued entries if a batch is due.
     *
     * @param now the time
     */
    public void tick(final Instant now) {
        expire(now);
        if (mSink.isIdle() && isSendDue(now)) {
            send(now);
        }
    }

    private void expire(final Instant now) {
        boolean hasUnsent = false;
        final Iterator<Map.Entry<Long, Pending>> iterator = mPending.entrySet().iterator();
        while (iterator.hasNext()) {
            final Map.Entry<Long, Pending> next = iterator.next();
            final Pending pending = next.getValue();
            if (now.isBefore(pending.deadline())) {
                continue;
            }
            iterator.remove();
            hasUnsent |= !pending.sent();
            if (pending.sent()) {
                withdraw(pending.key(), next.getKey(), now);
            }
            mListener.onDecision(pending.key(), next.getKey(), ClaimResult.UNAVAILABLE, now);
        }
        if (hasUnsent) {
            mOutgoing.removeIf(this::isExpiredClaim);
        }
    }

    private boolean isExpiredClaim(final Outgoing outgoing) {
        return outgoing.action() == ClaimEntry.Action.CLAIM
                && !mPending.containsKey(outgoing.attempt());
    }

    private boolean isSendDue(final Instant now) {
        final Outgoing first = mOutgoing.peek();
        return first != null
                && (mOutgoing.size() >= mLimits.maxBatchEntries()
                        || !now.isBefore(first.queuedAt().plus(mLimits.linger())));
    }

    private void send(final Instant now) {
        final List<ClaimEntry> entries = new ArrayList<>();
        while (!mOutgoing.isEmpty() && entries.size() < mLimits.maxBatchEntries()) {
            final Outgoing next = mOutgoing.remove();
            if (next.action() == ClaimEntry.Action.CLAIM) {
                mPending.computeIfPresent(next.attempt(), (id, pending) -> pending.asSent());
            }
            entries.add(next.toEntry());
        }
        mSink.offer(id -> new LogRecord.ClaimBatch(id, entries), now)
                .orElseThrow(
                        () -> new IllegalStateException("an idle sink rejected a claim batch"));
    }

    /** Returns the number of claims without a decision. */
    public int pendingCount() {
        return mPending.size();
    }

    private record Pending(ClaimKey key, Instant deadline, Instant dispatchBy, boolean sent) {
        Pending asSent() {
            return new Pending(key, deadline, dispatchBy, true);
        }
    }

    private record Outgoing(
            ClaimEntry.Action action, ClaimKey key, long attempt, Instant queuedAt) {
        ClaimEntry toEntry() {
            return new ClaimEntry(action, key.high(), key.low(), attempt);
        }
    }
}
