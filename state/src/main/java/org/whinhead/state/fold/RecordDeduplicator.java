package org.whinhead.state.fold;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.RecordId;

/**
 * Drops second copies of records with bounded memory: the highest sequence of each incarnation.
 *
 * <p>Guards against an append that takes effect twice, because its answer was lost and it was sent
 * again. A writer has one append in flight and sends a batch again before it sends a later one, so
 * first copies stand in the log by rising sequence, and a copy that turns up later is at or below
 * the highest. The rule for gaps: a gap is taken as records that the writer gave up, and a record
 * below the highest never takes effect, even if it was not seen before. So a writer makes sure that
 * a record of unknown fate can no longer take effect by getting a later one into the log.
 *
 * <p>Incarnations are forgotten in the order of their newest records; a copy would have to be
 * delayed past the records of as many other incarnations as are kept.
 */
public final class RecordDeduplicator {

    /** Many times the incarnations that write while an append can be under way. */
    public static final int DEFAULT_MAX_INCARNATIONS = 4_096;

    private final int mMaxIncarnations;
    private final LinkedHashMap<DaemonId, Long> mHighestSequences = new LinkedHashMap<>();

    /**
     * Makes an empty ledger.
     *
     * @param incarnations how many incarnations are remembered; the same on every daemon
     */
    public RecordDeduplicator(final int incarnations) {
        mMaxIncarnations = (int) Arguments.requireAtLeast(incarnations, 1, "incarnations");
    }

    /**
     * Tells whether a record is new, and remembers it.
     *
     * @param id the record's identity
     * @return false if it must be dropped
     */
    public boolean admit(final RecordId id) {
        final long highest = mHighestSequences.getOrDefault(id.incarnation(), 0L);
        if (id.sequence() <= highest) {
            return false;
        }
        mHighestSequences.remove(id.incarnation());
        mHighestSequences.put(id.incarnation(), id.sequence());
        if (mHighestSequences.size() > mMaxIncarnations) {
            mHighestSequences.remove(mHighestSequences.keySet().iterator().next());
        }
        return true;
    }

    /** Returns the newest identity of each incarnation, the longest silent first. */
    public List<RecordId> snapshot() {
        final List<RecordId> newest = new ArrayList<>();
        mHighestSequences.forEach(
                (incarnation, sequence) -> newest.add(new RecordId(incarnation, sequence)));
        return newest;
    }

    /**
     * Replaces the ledger's content.
     *
     * @param newest what {@link #snapshot} gave
     */
    public void restore(final List<RecordId> newest) {
        Objects.requireNonNull(newest, "newest");
        mHighestSequences.clear();
        newest.forEach(id -> mHighestSequences.put(id.incarnation(), id.sequence()));
    }
}
