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
 * Folds the records of the fleet stream into the shared state, each exactly once and in offset
 * order; single-threaded, without input, output or clock.
 *
 * <p>The state depends on the records alone. So a state as of a higher offset, from a checkpoint or
 * a peer, is the one that this fold would reach itself, and taking it never undoes anything.
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
     * Makes an empty fold.
     *
     * @param settings the empty ledger that decides changes of settings
     * @param incarnations how many incarnations are remembered; the same on every daemon
     */
    public LogFold(final SettingsLedger settings, final int incarnations) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mDeduplicator = new RecordDeduplicator(incarnations);
    }

    /** Returns the first offset that was not applied. */
    public long nextOffset() {
        return mNextOffset;
    }

    /**
     * Applies the next record of the stream.
     *
     * @param entry the record
     * @return what was done with it
     */
    public ApplyResult apply(final LogEntry entry) {
        if (entry.offset() < mNextOffset) {
            return ApplyResult.ALREADY;
        }
        // Guards against a lost read answer or a state that was installed in between: a fold with
        // a hole would differ from all others, so it asks for the missing records instead.
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

    // Guards against two versions of the program that disagree on a document's validity: a daemon
    // that does not know the rules in force stops here and says so, rather than decide otherwise.
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
     * The log answered that nothing lies beyond the position.
     *
     * <p>A state that came from a peer counts as read from the log from here on.
     */
    public void markCaughtUp() {
        mSource = FoldView.Source.LOG;
        mCaughtUp = true;
        mView = null;
    }

    /**
     * Goes on from a state as of a higher offset; an older one changes nothing.
     *
     * <p>Guards against a checkpoint that is published late and a peer that lags: taking their
     * state would put settings back that were replaced long ago.
     *
     * @param state the state
     * @param source where it came from
     * @return whether it was taken
     */
    public boolean installSnapshot(final FoldState state, final FoldView.Source source) {
        final boolean first = mSource == FoldView.Source.NONE;
        if (state.asOf() < mNextOffset || state.asOf() == mNextOffset && !first) {
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

    // A checkpoint by an older version holds the records that it could not fold. Kinds that were
    // added later must not depend on the order towards other kinds, so folding them now is the
    // same.
    private void applyKeptRecord(final FoldState.KeptRecord kept) {
        try {
            final LogRecord record = mCodec.decode(Base64.getDecoder().decode(kept.encoded()));
            dispatch(new LogEntry(kept.offset(), kept.at(), record));
        } catch (final RecordFormatException | IllegalArgumentException e) {
            mUnknownLost = true;
        }
    }

    /** Returns the shared state as of the last applied record. */
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

    /** What was done with a record. */
    public enum ApplyResult {
        /** It was folded. */
        NEW,
        /** It was a second copy of a record and changed nothing. */
        SECOND_COPY,
        /** Its offset was passed before. */
        ALREADY,
        /** Records before it are missing; read again from the position. */
        GAP,
        /** This version of the program does not know the rules in force. */
        BLOCKED
    }
}
