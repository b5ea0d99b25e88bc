package org.whinhead.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The endpoints that the store lists, in the order of its offsets.
 *
 * <p>An entry lapses in the store when its endpoint's heartbeats are not written, also when it is
 * the store that was away. Such an endpoint is alive and comes back within two seconds; dropping it
 * at once would leave a service without endpoints after each outage. So an entry that goes missing
 * around an outage stays in use for a while, and one that goes missing in calm times leaves at
 * once.
 */
public final class EndpointRegistry {

    /**
     * How long after the last failed read a missing entry may still come back: the store's promise
     * of two seconds from its return, and the time in which the return is noticed. It does not
     * count from the removal, since an endpoint that is truly gone must get no new work two seconds
     * after that.
     */
    static final Duration LAPSE_GRACE = Duration.ofMillis(2_500);

    /** Removals that are remembered: all that the largest deployment sees in some minutes. */
    private static final int MAX_REMOVALS = 2_000;

    /** Spreads the hashes of single entries, so that their sum tells sets apart. */
    private static final long SPREAD_FACTOR = 0x9E3779B97F4A7C15L;

    private final Map<String, Record> mRecords = new HashMap<>();
    private final Set<String> mLeavingIds = new HashSet<>();
    private final Map<String, Long> mRemovals = new LinkedHashMap<>();
    private Instant mLastOutage = Instant.EPOCH;
    private long mNewestOffset = -1;

    /**
     * Takes the newest record of an endpoint.
     *
     * @param entry the entry
     * @param offset its offset in the store
     * @return what it changed
     */
    public EntryEffect put(final EndpointEntry entry, final long offset) {
        mNewestOffset = Math.max(mNewestOffset, offset);
        final Record before = mRecords.get(entry.id());
        if (isOutdated(entry, offset, before)) {
            return EntryEffect.NONE;
        }
        final boolean restarted = before != null && entry.startedAfter(before.mEntry);
        if (restarted) {
            mLeavingIds.remove(entry.id());
        }
        final boolean leaving = entry.leaving() || mLeavingIds.contains(entry.id());
        if (leaving) {
            mLeavingIds.add(entry.id());
        }
        mRecords.put(entry.id(), new Record(entry, offset, leaving, Doubt.NONE));
        if (restarted) {
            return EntryEffect.RESTARTED;
        }
        final boolean changed =
                before == null || before.mLeaving != leaving || before.mDoubt != Doubt.NONE;
        return changed ? EntryEffect.CHANGED : EntryEffect.NONE;
    }

    /**
     * Tells whether an entry says nothing new. A write of an endpoint's earlier start may be
     * carried out after the first one of its next start; it must not undo that one.
     */
    private boolean isOutdated(final EndpointEntry entry, final long offset, final Record before) {
        if (mRemovals.getOrDefault(entry.id(), -1L) >= offset) {
            return true;
        }
        return before != null && (before.mOffset >= offset || entry.startedBefore(before.mEntry));
    }

    /**
     * Takes a record under an endpoint's id that can't be understood. It may come from another
     * writer. It names no endpoint to use, so this one gets no new work until it has written again,
     * and all others hold.
     *
     * @param id the record's key
     * @param offset its offset in the store
     * @return whether an endpoint was usable until now
     */
    public boolean markUnreadable(final String id, final long offset) {
        mNewestOffset = Math.max(mNewestOffset, offset);
        final Record before = mRecords.get(id);
        if (before == null || before.mOffset >= offset) {
            return false;
        }
        mRecords.put(id, new Record(before.mEntry, offset, before.mLeaving, Doubt.UNREADABLE));
        return before.mDoubt != Doubt.UNREADABLE;
    }

    /**
     * Takes the removal of an entry.
     *
     * @param id the endpoint
     * @param offset the removal's offset
     * @param now the time
     * @return whether the entry was listed, and the removal is newer
     */
    public boolean remove(final String id, final long offset, final Instant now) {
        mNewestOffset = Math.max(mNewestOffset, offset);
        final Record before = mRecords.get(id);
        if (before != null && before.mOffset >= offset) {
            return false;
        }
        rememberRemoval(id, offset);
        if (before == null) {
            return false;
        }
        lapse(before, now);
        return true;
    }

    /**
     * Takes the removal of an entry that another daemon has read and doesn't doubt.
     *
     * @param id the endpoint
     * @param offset the removal's offset
     * @return whether the entry was listed, and the removal is newer
     */
    public boolean removeConfirmed(final String id, final long offset) {
        mNewestOffset = Math.max(mNewestOffset, offset);
        final Record before = mRecords.get(id);
        if (before != null && before.mOffset >= offset) {
            return false;
        }
        rememberRemoval(id, offset);
        return mRecords.remove(id) != null;
    }

    /**
     * Remembers a removal. What other daemons have read overtakes this daemon's own reads, and an
     * older record that is read afterwards must not bring the endpoint back.
     */
    private void rememberRemoval(final String id, final long offset) {
        mRemovals.put(id, offset);
        if (mRemovals.size() > MAX_REMOVALS) {
            mRemovals.remove(mRemovals.keySet().iterator().next());
        }
    }

    /**
     * Takes a whole listing.
     *
     * @param listed the ids that it names; their entries were put before
     * @param end the store's end offset when it was made; an older listing removes nothing
     * @param now the time
     */
    public void retain(final Set<String> listed, final long end, final Instant now) {
        if (end <= mNewestOffset) {
            return;
        }
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
            mRecords.remove(id);
            return;
        }
        if (record.mDoubt == Doubt.NONE) {
            mRecords.put(id, new Record(record.mEntry, record.mOffset, false, Doubt.MISSING));
        }
    }

    /**
     * Notes that the store could not be read.
     *
     * @param now the time
     */
    public void recordOutage(final Instant now) {
        mLastOutage = now;
    }

    /**
     * Drops the entries that stayed missing after an outage.
     *
     * @param now the time
     * @return the ids that were dropped
     */
    public List<String> expire(final Instant now) {
        final List<String> gone = new ArrayList<>();
        for (final Record record : mRecords.values()) {
            if (record.mDoubt == Doubt.MISSING && now.isAfter(mLastOutage.plus(LAPSE_GRACE))) {
                gone.add(record.mEntry.id());
            }
        }
        gone.forEach(mRecords::remove);
        return gone;
    }

    /**
     * Lists the endpoints that may get new work.
     *
     * @param service the service
     * @return its endpoints that are not leaving
     */
    public List<EndpointEntry> usable(final String service) {
        final List<EndpointEntry> usable = new ArrayList<>();
        for (final Record record : mRecords.values()) {
            final boolean open = !record.mLeaving && record.mDoubt != Doubt.UNREADABLE;
            if (open && record.mEntry.service().equals(service)) {
                usable.add(record.mEntry);
            }
        }
        return usable;
    }

    /**
     * Finds an endpoint, leaving or not.
     *
     * @param id its id
     * @return its entry, if the store lists it
     */
    public Optional<EndpointEntry> find(final String id) {
        return Optional.ofNullable(mRecords.get(id)).map(record -> record.mEntry);
    }

    /**
     * Sums up which endpoints are listed and which of them are leaving.
     *
     * @return a number that two daemons with the same view share
     */
    public long digest() {
        long summary = 0;
        for (final Record record : mRecords.values()) {
            if (record.mDoubt == Doubt.NONE) {
                final int leaving = record.mEntry.leaving() ? 1 : 0;
                final long hash =
                        31L * record.mEntry.id().hashCode()
                                + leaving
                                + record.mEntry.startedAt().hashCode();
                summary += hash * SPREAD_FACTOR;
            }
        }
        return summary;
    }

    /**
     * Drops an endpoint whose address answered for another one.
     *
     * @param id the endpoint that is no longer there
     */
    public void markReplaced(final String id) {
        mLeavingIds.add(id);
        mRecords.computeIfPresent(
                id, (key, record) -> new Record(record.mEntry, record.mOffset, true, Doubt.NONE));
    }

    /**
     * Lists all endpoints, leaving ones too.
     *
     * @return their entries
     */
    public Collection<EndpointEntry> all() {
        return mRecords.values().stream().map(record -> record.mEntry).toList();
    }

    /** Why an entry that is kept may not hold any more. */
    private enum Doubt {
        NONE,
        /** It went missing around an outage of the store, and may come back. */
        MISSING,
        /** A newer record under its id can't be understood. */
        UNREADABLE
    }

    private static final class Record {
        private final EndpointEntry mEntry;
        private final long mOffset;
        private final boolean mLeaving;
        private final Doubt mDoubt;

        private Record(
                final EndpointEntry entry,
                final long offset,
                final boolean leaving,
                final Doubt doubt) {
            mEntry = entry;
            mOffset = offset;
            mLeaving = leaving;
            mDoubt = doubt;
        }
    }
}
