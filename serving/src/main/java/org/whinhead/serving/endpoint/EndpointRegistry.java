package org.whinhead.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.whinhead.serving.store.StorePosition;

/**
 * The endpoints that the store lists, updated in the order of the records' {@link StorePosition}.
 *
 * <p>An entry lapses in the store if its endpoint's heartbeats are not written, even if the store
 * itself was down. Such an endpoint is alive and is listed again within two seconds; removing it at
 * once would leave a service without endpoints after each outage. So an entry that goes missing
 * around an outage remains in use for a grace period, and one that goes missing otherwise is
 * removed at once.
 */
public final class EndpointRegistry {

    /**
     * The time after the last failed read in which a missing entry may be listed again: the store's
     * guarantee of two seconds after its return, and the time until the return is noticed. It
     * doesn't start at the removal, since an endpoint that has really gone must get no new work two
     * seconds later.
     */
    static final Duration LAPSE_GRACE = Duration.ofMillis(2_500);

    /** Twice the endpoints of the largest deployment; the oldest ones have ended by then. */
    private static final int MAX_LEAVING = 4_000;

    /** The number of remembered removals: some minutes' worth in the largest deployment. */
    private static final int MAX_REMOVALS = 2_000;

    /** Spreads the hashes of single entries, so that their sum differs between sets. */
    private static final long SPREAD_FACTOR = 0x9E3779B97F4A7C15L;

    private final Map<String, Record> mRecords = new HashMap<>();
    private final Map<String, EndpointStart> mLeaving = new LinkedHashMap<>();
    private final Map<String, Long> mRemovals = new LinkedHashMap<>();
    private Instant mLastOutage = Instant.EPOCH;
    private long mDigest;
    private long mContentDigest;
    private long mChangedEnd;
    private long mExactEnd;
    private long mCopyEnd;

    /**
     * Adds or updates an endpoint's entry.
     *
     * @param entry the entry
     * @param offset its offset in the store
     * @return the effect of the entry
     */
    public EntryEffect put(final EndpointEntry entry, final long offset) {
        final Record previous = mRecords.get(entry.id());
        if (isOutdated(entry, offset, previous)) {
            return EntryEffect.NONE;
        }
        if (isOfCopyBefore(entry, offset)) {
            // Others may not know of the removal, and list the endpoint.
            recordChanged(offset);
            return EntryEffect.NONE;
        }
        final boolean restarted =
                previous != null
                        && EndpointStart.of(entry).isLaterThan(EndpointStart.of(previous.mEntry));
        if (entry.leaving()) {
            rememberLeaving(EndpointStart.of(entry));
        }
        final boolean leaving = hasLeft(entry);
        replace(new Record(entry, offset, leaving, Doubt.NONE));
        final boolean changed =
                previous == null
                        || previous.mLeaving != leaving
                        || previous.mDoubt != Doubt.NONE
                        || !entry.hasSameContent(previous.mEntry);
        if (restarted || changed) {
            recordChanged(offset);
        }
        if (restarted) {
            return EntryEffect.RESTARTED;
        }
        return changed ? EntryEffect.CHANGED : EntryEffect.NONE;
    }

    /** Returns whether the start that wrote an entry is known to leave; a later start is not. */
    private boolean hasLeft(final EndpointEntry entry) {
        final EndpointStart leaving = mLeaving.get(entry.id());
        return leaving != null && !EndpointStart.of(entry).isLaterThan(leaving);
    }

    private void rememberLeaving(final EndpointStart start) {
        mLeaving.put(start.endpoint(), start);
        if (mLeaving.size() > MAX_LEAVING) {
            mLeaving.remove(mLeaving.keySet().iterator().next());
        }
    }

    private void recordChanged(final long offset) {
        mChangedEnd = Math.max(mChangedEnd, offset + 1);
    }

    /**
     * Returns whether an entry is older than the known one. A write of an endpoint's earlier start
     * may be carried out after the first one of its next start, and must not replace that.
     */
    private boolean isOutdated(
            final EndpointEntry entry, final long offset, final Record previous) {
        if (offset < mExactEnd || mRemovals.getOrDefault(entry.id(), -1L) >= offset) {
            return true;
        }
        return previous != null
                && (previous.mOffset >= offset || entry.startedBefore(previous.mEntry));
    }

    /**
     * Returns whether an entry may be one that an older copy of the store still holds, although the
     * endpoint was removed later. An endpoint that is alive writes again soon.
     */
    private boolean isOfCopyBefore(final EndpointEntry entry, final long offset) {
        final long removal = mRemovals.getOrDefault(entry.id(), -1L);
        return removal >= 0
                && offset < mCopyEnd
                && StorePosition.era(removal) < StorePosition.era(offset);
    }

    /**
     * Records that the store has returned from an older copy. Entries that are not in it count as
     * missing around an outage, as their endpoints write them again.
     *
     * @param end the end of the topic when the copy was first read
     * @param now the current time
     */
    public void recordOlderCopy(final long end, final Instant now) {
        mCopyEnd = end;
        mLastOutage = now;
    }

    /**
     * Marks an endpoint whose newest record can't be parsed. The record may come from another
     * writer and describes no usable endpoint, so the endpoint gets no new work until it has
     * written again. All other endpoints are unaffected.
     *
     * @param id the record's key
     * @param offset its offset in the store
     * @return whether the endpoint was usable until now
     */
    public boolean markUnreadable(final String id, final long offset) {
        final Record previous = mRecords.get(id);
        if (offset < mExactEnd || previous == null || previous.mOffset >= offset) {
            return false;
        }
        recordChanged(offset);
        replace(new Record(previous.mEntry, offset, previous.mLeaving, Doubt.UNREADABLE));
        return previous.mDoubt != Doubt.UNREADABLE;
    }

    /**
     * Removes an entry, after a grace period if it goes missing around an outage.
     *
     * @param id the endpoint's id
     * @param offset the removal's offset
     * @param now the current time
     * @return whether the entry was listed, and the removal is newer
     */
    public boolean remove(final String id, final long offset, final Instant now) {
        final Record previous = mRecords.get(id);
        if (offset < mExactEnd || previous != null && previous.mOffset >= offset) {
            return false;
        }
        recordChanged(offset);
        rememberRemoval(id, offset);
        if (previous == null) {
            return false;
        }
        lapse(previous, now);
        return true;
    }

    /**
     * Removes an entry whose removal another daemon has read and confirmed.
     *
     * @param id the endpoint's id
     * @param offset the removal's offset
     * @return whether the entry was listed, and the removal is newer
     */
    public boolean removeConfirmed(final String id, final long offset) {
        final Record previous = mRecords.get(id);
        if (offset < mExactEnd || previous != null && previous.mOffset >= offset) {
            return false;
        }
        recordChanged(offset);
        rememberRemoval(id, offset);
        return drop(id);
    }

    /**
     * Remembers a removal. Other daemons' messages may arrive before this daemon's own reads, and
     * an older record that is read afterwards must not add the endpoint again.
     */
    private void rememberRemoval(final String id, final long offset) {
        mRemovals.put(id, offset);
        if (mRemovals.size() > MAX_REMOVALS) {
            mRemovals.remove(mRemovals.keySet().iterator().next());
        }
    }

    /**
     * Removes the entries that a complete listing doesn't contain.
     *
     * @param listed the ids in the listing, whose entries are put afterwards
     * @param end the store's end offset when the listing was made; what was written since remains,
     *     and if these are the entries of a later position, all of them
     * @param now the current time
     */
    public void retain(final Set<String> listed, final long end, final Instant now) {
        // What was removed and written before the end of a listing is not known.
        mChangedEnd = Math.max(mChangedEnd, end);
        if (end < mExactEnd) {
            return;
        }
        mExactEnd = 0;
        for (final Record record : List.copyOf(mRecords.values())) {
            if (!listed.contains(record.mEntry.id()) && record.mOffset < end) {
                lapse(record, now);
            }
        }
    }

    private void lapse(final Record record, final Instant now) {
        final String id = record.mEntry.id();
        final boolean aroundOutage = now.isBefore(mLastOutage.plus(LAPSE_GRACE));
        if (record.mLeaving || !aroundOutage) {
            drop(id);
            return;
        }
        if (record.mDoubt == Doubt.NONE) {
            replace(new Record(record.mEntry, record.mOffset, false, Doubt.MISSING));
        }
    }

    /**
     * Records that the entries are those of the store at a position. Records before it that arrive
     * later are of no effect: an endpoint that was put and removed before it would be listed again
     * by a late message or answer with the first of these records.
     *
     * @param end the offset behind the last record that is contained in the entries
     */
    public void recordExact(final long end) {
        mExactEnd = Math.max(mExactEnd, end);
    }

    /**
     * Returns the offset behind the last known record that may change the entries of a daemon
     * without it, whatever it did here: a removal, or an entry that differs from the one before in
     * more than the time at which it was written.
     *
     * @return the offset; the end of the last listing if none came after it
     */
    public long changedEnd() {
        return mChangedEnd;
    }

    /**
     * Records that the store could not be read.
     *
     * @param now the current time
     */
    public void recordOutage(final Instant now) {
        mLastOutage = now;
    }

    /**
     * Removes the entries that remained missing after an outage.
     *
     * @param now the current time
     * @return the removed ids
     */
    public List<String> expire(final Instant now) {
        final List<String> expired = new ArrayList<>();
        for (final Record record : mRecords.values()) {
            if (record.mDoubt == Doubt.MISSING && now.isAfter(mLastOutage.plus(LAPSE_GRACE))) {
                expired.add(record.mEntry.id());
            }
        }
        expired.forEach(this::drop);
        return expired;
    }

    /**
     * Returns the endpoints that may get new work.
     *
     * @param service the service
     * @return its endpoints that are not leaving
     */
    public List<EndpointEntry> usable(final String service) {
        final List<EndpointEntry> usable = new ArrayList<>();
        for (final Record record : mRecords.values()) {
            if (record.isUsable() && record.mEntry.service().equals(service)) {
                usable.add(record.mEntry);
            }
        }
        return usable;
    }

    /**
     * Returns whether an endpoint may get new work.
     *
     * @param id the endpoint's id
     * @return true if it is listed and not leaving
     */
    public boolean isUsable(final String id) {
        final Record record = mRecords.get(id);
        return record != null && record.isUsable();
    }

    /**
     * Returns whether an endpoint has said that it leaves.
     *
     * @param id the endpoint's id
     * @return false also if it is not listed any more, as it may have crashed
     */
    public boolean isLeaving(final String id) {
        final Record record = mRecords.get(id);
        return record != null && record.mLeaving;
    }

    /**
     * Returns an endpoint's entry, even if it is leaving.
     *
     * @param id the endpoint's id
     * @return its entry, if the store lists it
     */
    public Optional<EndpointEntry> find(final String id) {
        return Optional.ofNullable(mRecords.get(id)).map(record -> record.mEntry);
    }

    /**
     * Returns a digest of the listed endpoints and of those that are leaving.
     *
     * @return the digest, which is equal for daemons with the same view
     */
    public long digest() {
        return mDigest;
    }

    /**
     * Returns a digest of the contents of the listed endpoints' entries, without what changes from
     * one write to the next. The digest of the set leaves out addresses, domains and slots.
     *
     * @return the digest, which is equal for daemons with the same entries
     */
    public long contentDigest() {
        return mContentDigest;
    }

    /** Replaces an endpoint's record, and keeps the digests, which are sums over the records. */
    private void replace(final Record record) {
        drop(record.mEntry.id());
        mRecords.put(record.mEntry.id(), record);
        mDigest += record.mHash;
        mContentDigest += record.mContentHash;
    }

    private boolean drop(final String id) {
        final Record record = mRecords.remove(id);
        if (record == null) {
            return false;
        }
        mDigest -= record.mHash;
        mContentDigest -= record.mContentHash;
        return true;
    }

    /**
     * Marks an endpoint as leaving for another reason than its entry: it has said so in a response,
     * or another endpoint answers at its address. Only a later start of the endpoint ends that; it
     * is remembered also if the endpoint is not listed yet.
     *
     * @param start the start of the endpoint that leaves
     * @return whether it is listed and did not count as leaving
     */
    public boolean markLeaving(final EndpointStart start) {
        final EndpointStart known = mLeaving.get(start.endpoint());
        if (known == null || start.isLaterThan(known)) {
            rememberLeaving(start);
        }
        final Record record = mRecords.get(start.endpoint());
        if (record == null || record.mLeaving || !hasLeft(record.mEntry)) {
            return false;
        }
        replace(new Record(record.mEntry, record.mOffset, true, record.mDoubt));
        return true;
    }

    /**
     * Returns all endpoints, including leaving ones.
     *
     * @return their entries
     */
    public Collection<EndpointEntry> all() {
        return mRecords.values().stream().map(record -> record.mEntry).toList();
    }

    /** The reason why a listed entry may no longer be valid. */
    private enum Doubt {
        NONE,
        /** The entry went missing around an outage of the store, and may be listed again. */
        MISSING,
        /** A newer record with the entry's id can't be parsed. */
        UNREADABLE
    }

    private static final class Record {
        private final EndpointEntry mEntry;
        private final long mOffset;
        private final boolean mLeaving;
        private final Doubt mDoubt;
        private final long mHash;
        private final long mContentHash;

        private Record(
                final EndpointEntry entry,
                final long offset,
                final boolean leaving,
                final Doubt doubt) {
            mEntry = entry;
            mOffset = offset;
            mLeaving = leaving;
            mDoubt = doubt;
            mHash = doubt == Doubt.NONE ? hash(entry) : 0;
            mContentHash = doubt == Doubt.NONE ? entry.contentHash() * SPREAD_FACTOR : 0;
        }

        private boolean isUsable() {
            return !mLeaving && mDoubt != Doubt.UNREADABLE;
        }

        private static long hash(final EndpointEntry entry) {
            final int leaving = entry.leaving() ? 1 : 0;
            return (31L * entry.id().hashCode()
                            + leaving
                            + entry.startedAt().hashCode()
                            + 31L * entry.version().hashCode())
                    * SPREAD_FACTOR;
        }
    }
}
