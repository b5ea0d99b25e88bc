package org.whinhead.state.fold;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.whinhead.state.lease.LeaseTable;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.LogRecordCodec;
import org.whinhead.state.record.RecordFormatException;
import org.whinhead.state.settings.SettingsLedger;

/**
 * Applies the records of the fleet stream to the shared state, each exactly once and in offset
 * order. Single-threaded, without I/O or a clock of its own.
 *
 * <p>The state depends on the records alone. A state with a higher offset, from a checkpoint or a
 * peer, is therefore the state that this fold would reach, and installing it reverts nothing.
 */
public final class LogFold {

    private static final int MAX_UNKNOWN_RECORDS = 1_024;
    private static final Duration LEAVING_VM_RETENTION = Duration.ofMinutes(10);

    private final LogRecordCodec mCodec = new LogRecordCodec();
    private final SettingsLedger mSettings;
    private final RecordDeduplicator mDeduplicator;
    private final LeaseTable mLeases = new LeaseTable();
    private final DutyNotes mNotes = new DutyNotes();
    private final Map<String, Instant> mLeaving = new TreeMap<>();
    private final Deque<LogRecord.BudgetGrant> mGrants = new ArrayDeque<>();
    private final Deque<FoldState.KeptRecord> mUnknown = new ArrayDeque<>();
    private boolean mUnknownLost;
    private boolean mBlocked;
    private boolean mCaughtUp;
    private long mNextOffset;
    private FoldView.Source mSource = FoldView.Source.NONE;
    private FoldView mView;

    /**
     * Creates an empty fold.
     *
     * @param settings the empty settings ledger
     * @param maxIncarnations the highest number of daemon incarnations remembered, at least 1; the
     *     same on every daemon
     */
    public LogFold(final SettingsLedger settings, final int maxIncarnations) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mDeduplicator = new RecordDeduplicator(maxIncarnations);
    }

    /** Returns the first offset that is not applied. */
    public long nextOffset() {
        return mNextOffset;
    }

    /**
     * Applies the next record of the stream.
     *
     * @param entry the record
     * @return the result
     */
    public ApplyResult apply(final LogEntry entry) {
        if (entry.offset() < mNextOffset) {
            return ApplyResult.ALREADY;
        }
        // After a lost read response or an installed state, records may be missing. A fold with a
        // gap would differ from all others, so the caller must read the missing records first.
        if (entry.offset() > mNextOffset) {
            return ApplyResult.GAP;
        }
        if (mBlocked || requiresUnknownRules(entry.record())) {
            mBlocked = true;
            mView = null;
            return ApplyResult.BLOCKED;
        }
        mNextOffset = entry.offset() + 1;
        mSource = FoldView.Source.LOG;
        mView = null;
        if (!mDeduplicator.admit(entry.record().id())) {
            return ApplyResult.SECOND_COPY;
        }
        prune(entry.at());
        dispatch(entry);
        return ApplyResult.NEW;
    }

    // Two program versions could disagree on the validity of a document. A daemon that does not
    // support the rules in force stops and reports it.
    private boolean requiresUnknownRules(final LogRecord record) {
        return record instanceof LogRecord.RulesActivated rules
                && !mSettings.supports(rules.version());
    }

    private void dispatch(final LogEntry entry) {
        final LogRecord record = entry.record();
        final long offset = entry.offset();
        if (record instanceof LogRecord.SettingChanged changed) {
            mSettings.apply(changed, offset);
        } else if (record instanceof LogRecord.RulesActivated rules) {
            mSettings.apply(rules);
        } else if (record instanceof LogRecord.LeaseTaken taken) {
            mLeases.apply(taken, offset);
        } else if (record instanceof LogRecord.LeaseRenewed renewed) {
            mLeases.apply(renewed, offset);
        } else if (record instanceof LogRecord.LeaseReleased released) {
            mLeases.apply(released, offset);
        } else if (record instanceof LogRecord.VmLeaving leaving) {
            mLeaving.merge(leaving.vm().value(), leaving.goneBy(), LogFold::earlier);
        } else if (record instanceof LogRecord.BudgetGrant grant) {
            if (mLeases.isCurrentFencing(LogRecord.BudgetGrant.DUTY, grant.fencing())) {
                mGrants.add(grant);
            }
        } else if (record instanceof LogRecord.DutyNoted note) {
            if (mLeases.isCurrentFencing(note.duty(), note.fencing())) {
                mNotes.apply(note);
            }
        } else if (record instanceof LogRecord.Unknown unknown) {
            keepUnknown(entry, unknown);
        }
    }

    private static Instant earlier(final Instant one, final Instant other) {
        return one.isBefore(other) ? one : other;
    }

    private void keepUnknown(final LogEntry entry, final LogRecord.Unknown unknown) {
        final String bytes = Base64.getEncoder().encodeToString(mCodec.encode(unknown));
        mUnknown.add(FoldState.KeptRecord.of(entry, bytes));
        if (mUnknown.size() > MAX_UNKNOWN_RECORDS) {
            mUnknown.remove();
            mUnknownLost = true;
        }
    }

    private void prune(final Instant logTime) {
        mGrants.removeIf(grant -> grant.until().isBefore(logTime));
        mLeaving.values().removeIf(goneBy -> goneBy.plus(LEAVING_VM_RETENTION).isBefore(logTime));
    }

    /**
     * Marks the fold as caught up after the log returned no record at or beyond the next offset.
     *
     * <p>A state from a peer counts as read from the log from then on.
     */
    public void markCaughtUp() {
        mSource = FoldView.Source.LOG;
        mCaughtUp = true;
        mView = null;
    }

    /**
     * Replaces the state with one of a higher offset; an older state is ignored.
     *
     * <p>A checkpoint may be published late and a peer may lag. Installing their state would
     * restore settings that were replaced.
     *
     * @param state the state to install
     * @param source the source of the state
     * @return whether the state was installed; false also if this version does not support its
     *     rules, which blocks the fold
     */
    public boolean installSnapshot(final FoldState state, final FoldView.Source source) {
        final boolean isEmpty = mSource == FoldView.Source.NONE;
        if (state.asOf() < mNextOffset || state.asOf() == mNextOffset && !isEmpty) {
            return false;
        }
        if (!mSettings.supports(state.settings().rules())) {
            mBlocked = true;
            mView = null;
            return false;
        }
        mNextOffset = state.asOf();
        mDeduplicator.restore(state.newest());
        mSettings.restore(state.settings());
        mLeases.restore(state.leases());
        mNotes.restore(state.notes());
        mLeaving.clear();
        mLeaving.putAll(state.leaving());
        mGrants.clear();
        mGrants.addAll(state.grants());
        mUnknown.clear();
        mUnknownLost = state.unknownLost();
        mBlocked = false;
        mSource = source;
        mView = null;
        state.unknown().forEach(this::applyKeptRecord);
        return true;
    }

    // A checkpoint by an older version holds the records that it did not know. Kinds that are added
    // later must not depend on their order relative to other kinds, so applying them now gives the
    // same state.
    private void applyKeptRecord(final FoldState.KeptRecord kept) {
        try {
            final LogRecord record = mCodec.decode(Base64.getDecoder().decode(kept.encoded()));
            dispatch(new LogEntry(kept.offset(), kept.at(), record));
        } catch (final RecordFormatException | IllegalArgumentException e) {
            mUnknownLost = true;
        }
    }

    /** Returns the view of the shared state after the last applied record. */
    public FoldView view() {
        if (mView == null) {
            mView = new FoldView(buildState(), mSource, mCaughtUp, mBlocked);
        }
        return mView;
    }

    private FoldState buildState() {
        return new FoldState(
                mNextOffset,
                mDeduplicator.snapshot(),
                mSettings.snapshot(),
                mLeases.snapshot(),
                mNotes.snapshot(),
                mLeaving,
                new ArrayList<>(mGrants),
                new ArrayList<>(mUnknown),
                mUnknownLost);
    }

    /** The result of applying a record. */
    public enum ApplyResult {
        /** The record was applied. */
        NEW,
        /** The record was a second copy and changed nothing. */
        SECOND_COPY,
        /** The record's offset is below the next offset. */
        ALREADY,
        /** Earlier records are missing; the caller must read from the next offset. */
        GAP,
        /** This program version does not support the rules in force. */
        BLOCKED
    }
}
