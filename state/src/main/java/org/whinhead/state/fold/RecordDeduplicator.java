package org.whinhead.state.fold;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.RecordId;

/**
 * Detects second copies of records with bounded memory: the highest sequence of each daemon
 * incarnation.
 *
 * <p>An append whose response was lost and that was sent again may be written twice. A writer has
 * one append in flight and repeats a batch before it sends a later one, so the first copies are in
 * the log in ascending sequence and a later copy is at or below the highest. A gap means records
 * that the writer abandoned: a record below the highest never takes effect, even if it is new. A
 * writer thus cancels a record of unknown outcome by appending a later one.
 *
 * <p>The incarnation with the oldest newest record is evicted first; a copy is accepted twice only
 * if it is delayed past the records of as many other incarnations as are kept.
 */
public final class RecordDeduplicator {

    /** Many times the number of incarnations that write while an append can be in flight. */
    public static final int DEFAULT_MAX_INCARNATIONS = 4_096;

    private final int mMaxIncarnations;
    private final LinkedHashMap<DaemonId, Long> mHighestSequences = new LinkedHashMap<>();

    /**
     * Creates an empty deduplicator.
     *
     * @param maxIncarnations the highest number of incarnations remembered, at least 1; the same on
     *     every daemon
     */
    public RecordDeduplicator(final int maxIncarnations) {
        mMaxIncarnations = (int) Arguments.requireAtLeast(maxIncarnations, 1, "maxIncarnations");
    }

    /**
     * Returns whether a record is new and stores its sequence if so.
     *
     * @param id the record's identity
     * @return false if the record must be dropped
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

    /** Returns the newest record identity of each incarnation, oldest first. */
    public List<RecordId> snapshot() {
        final List<RecordId> newest = new ArrayList<>();
        mHighestSequences.forEach(
                (incarnation, sequence) -> newest.add(new RecordId(incarnation, sequence)));
        return newest;
    }

    /**
     * Replaces the stored sequences.
     *
     * @param newest the result of {@link #snapshot}
     */
    public void restore(final List<RecordId> newest) {
        Objects.requireNonNull(newest, "newest");
        mHighestSequences.clear();
        newest.forEach(id -> mHighestSequences.put(id.incarnation(), id.sequence()));
    }
}
