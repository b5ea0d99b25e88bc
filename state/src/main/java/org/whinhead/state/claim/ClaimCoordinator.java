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
 * Gets claims decided through one claim stream; single-threaded, without input, output or clock.
 *
 * <p>A grant comes only from reading the claim back from the stream: every claim that lies before
 * it was read by then, and whether the append's answer was lost does not matter.
 *
 * <p>Guards against a claim of unknown fate at its deadline. The attempt is told that it is not
 * granted and is forgotten, so it is never dispatched, even if its record lands later. Such a
 * record would block the key for later tries, which never ran: a withdrawal follows it through the
 * same writer. It frees the key if the claim stands before it; if the claim lands after it, the
 * claim's sequence is below the withdrawal's and it is dropped.
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
     * Makes a desk.
     *
     * @param table the stream's table, which only this desk applies records to
     * @param sink takes records for the stream
     * @param terms the bounds
     * @param actions told the decisions
     */
    public ClaimCoordinator(
            final ClaimTable table,
            final RecordSink sink,
            final ClaimLimits terms,
            final ClaimDecisionListener actions) {
        mTable = Objects.requireNonNull(table, "table");
        mSink = Objects.requireNonNull(sink, "sink");
        mLimits = Objects.requireNonNull(terms, "terms");
        mListener = Objects.requireNonNull(actions, "actions");
    }

    /**
     * Asks for a claim; exactly one decision follows.
     *
     * @param key the request's key
     * @param attempt the attempt, never used before
     * @param deadline when the attempt must have its decision
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
        // A new try of the key at this desk goes out behind the withdrawal and need not be turned
        // away because the withdrawal was not read back yet.
        mWithdrawnAttempts.add(attempt);
        if (mWithdrawnAttempts.size() > mLimits.maxPending()) {
            mWithdrawnAttempts.remove(mWithdrawnAttempts.iterator().next());
        }
    }

    /**
     * Takes in the next record of the stream.
     *
     * @param entry the record
     * @param now the time
     */
    public void apply(final LogEntry entry, final Instant now) {
        mTable.apply(entry, (key, attempt, holder) -> resolve(attempt, holder, now));
    }

    private void resolve(final long attempt, final long holder, final Instant now) {
        final Pending pending = mPending.get(attempt);
        // Guards against a daemon that was paused past the deadline: the caller was told, or is
        // about to be told, that the attempt did not run.
        if (pending == null || !now.isBefore(pending.deadline())) {
            return;
        }
        mPending.remove(attempt);
        final ClaimResult result =
                holder == attempt ? ClaimResult.GRANTED : ClaimResult.HELD_ELSEWHERE;
        mListener.onDecision(pending.key(), attempt, result, pending.dispatchBy());
    }

    /**
     * Time passed: ends claims whose deadline is over and sends what waits.
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
        boolean unsent = false;
        final Iterator<Map.Entry<Long, Pending>> all = mPending.entrySet().iterator();
        while (all.hasNext()) {
            final Map.Entry<Long, Pending> next = all.next();
            final Pending pending = next.getValue();
            if (now.isBefore(pending.deadline())) {
                continue;
            }
            all.remove();
            unsent |= !pending.sent();
            if (pending.sent()) {
                withdraw(pending.key(), next.getKey(), now);
            }
            mListener.onDecision(pending.key(), next.getKey(), ClaimResult.UNAVAILABLE, now);
        }
        if (unsent) {
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
                .orElseThrow(() -> new IllegalStateException("an idle sink refused"));
    }

    /** Returns how many claims wait for their decision. */
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
