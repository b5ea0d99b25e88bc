package org.whinhead.state.settings;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.whinhead.api.Arguments;
import org.whinhead.state.record.LogRecord;

/**
 * Decides changes of settings in log order, by compare-and-set on the path's revision.
 *
 * <p>Guards against operators who race each other and against a change that is sent twice: the
 * second one names a revision that is no longer in force and loses, on every daemon alike.
 */
public final class SettingsLedger {

    private final SettingsValidator mValidator;
    private final SettingsAuthorizer mAuthorizer;
    private final Limits mLimits;
    private final Map<String, List<SettingRevision>> mHistory = new TreeMap<>();
    private final Map<String, ChangeOutcome> mOutcomes = new LinkedHashMap<>();
    private int mRulesVersion = SettingsState.EMPTY.rules();
    private SettingsState mSnapshot = SettingsState.EMPTY;
    private SettingsState mCurrent = SettingsState.EMPTY;

    /**
     * Makes an empty ledger.
     *
     * @param validator checks documents
     * @param authority tells who may change which path
     * @param limits how much history is kept; must be the same on every daemon
     */
    public SettingsLedger(
            final SettingsValidator validator,
            final SettingsAuthorizer authority,
            final Limits limits) {
        mValidator = Objects.requireNonNull(validator, "validator");
        mAuthorizer = Objects.requireNonNull(authority, "authority");
        mLimits = Objects.requireNonNull(limits, "limits");
    }

    /** Returns the settings as of the last applied record. */
    public SettingsState snapshot() {
        if (mSnapshot == null) {
            mSnapshot = new SettingsState(mRulesVersion, mHistory, List.copyOf(mOutcomes.values()));
        }
        return mSnapshot;
    }

    /**
     * Replaces the ledger's content.
     *
     * @param state the state to go on from
     */
    public void restore(final SettingsState state) {
        mHistory.clear();
        mHistory.putAll(state.history());
        mOutcomes.clear();
        state.outcomes().forEach(outcome -> mOutcomes.put(outcome.changeId(), outcome));
        mRulesVersion = state.rules();
        mSnapshot = state;
        mCurrent = null;
    }

    /**
     * Tells whether this version of the program can decide changes under a version of the rules.
     *
     * @param rules the version
     * @return whether it is known
     */
    public boolean supports(final int rules) {
        return mValidator.supports(rules);
    }

    /**
     * Puts another version of the rules in force; an older one than before changes nothing.
     *
     * @param record the record
     */
    public void apply(final LogRecord.RulesActivated record) {
        if (record.version() > mRulesVersion) {
            mRulesVersion = record.version();
            mSnapshot = null;
            mCurrent = null;
        }
    }

    /**
     * Decides a change.
     *
     * @param record the change
     * @param offset its offset
     */
    public void apply(final LogRecord.SettingChanged record, final long offset) {
        // Guards against an operator who repeats a change through another daemon because the
        // answer was lost: the records differ, the change does not, and its first outcome stands.
        if (mOutcomes.containsKey(record.changeId())) {
            return;
        }
        final ChangeOutcome outcome = decide(record, offset);
        if (outcome.result() == ChangeOutcome.Result.WON) {
            append(record, offset);
        }
        mOutcomes.put(outcome.changeId(), outcome);
        while (mOutcomes.size() > mLimits.maxOutcomes()) {
            mOutcomes.remove(mOutcomes.keySet().iterator().next());
        }
        mSnapshot = null;
    }

    /** The settings without outcomes, which no decision depends on and which are many to copy. */
    private SettingsState current() {
        if (mCurrent == null) {
            mCurrent = new SettingsState(mRulesVersion, mHistory, List.of());
        }
        return mCurrent;
    }

    private ChangeOutcome decide(final LogRecord.SettingChanged record, final long offset) {
        final SettingsState current = current();
        final String path = record.path();
        if (!mAuthorizer.canChange(record.author(), path, current)) {
            return outcome(record, ChangeOutcome.Result.NOT_AUTHORISED, offset, List.of());
        }
        if (current.revisionNumber(path) != record.baseRevision()) {
            return outcome(record, ChangeOutcome.Result.LOST_RACE, offset, List.of());
        }
        final List<String> problems =
                mValidator.findProblems(mRulesVersion, path, record.document(), current);
        if (!problems.isEmpty()) {
            return outcome(record, ChangeOutcome.Result.INVALID, offset, problems);
        }
        return new ChangeOutcome(
                record.changeId(), path, ChangeOutcome.Result.WON, offset, offset, List.of());
    }

    private ChangeOutcome outcome(
            final LogRecord.SettingChanged record,
            final ChangeOutcome.Result result,
            final long offset,
            final List<String> problems) {
        final long inForce = current().revisionNumber(record.path());
        return new ChangeOutcome(
                record.changeId(), record.path(), result, inForce, offset, problems);
    }

    private void append(final LogRecord.SettingChanged record, final long offset) {
        final List<SettingRevision> revisions =
                new ArrayList<>(mHistory.getOrDefault(record.path(), List.of()));
        revisions.add(
                new SettingRevision(
                        offset,
                        record.document(),
                        record.changeId(),
                        record.author(),
                        record.reason(),
                        record.at()));
        if (revisions.size() > mLimits.maxRevisionsPerPath()) {
            revisions.remove(0);
        }
        mHistory.put(record.path(), List.copyOf(revisions));
        mCurrent = null;
    }

    /**
     * How much history is kept.
     *
     * @param maxRevisionsPerPath revisions kept for each path
     * @param maxOutcomes outcomes kept in all
     */
    public record Limits(int maxRevisionsPerPath, int maxOutcomes) {

        /** Enough for an auditor's look back and for two days of changes at the larger size. */
        public static final Limits DEFAULT = new Limits(64, 20_000);

        /** Checks both bounds. */
        public Limits {
            Arguments.requireAtLeast(maxRevisionsPerPath, 1, "maxRevisionsPerPath");
            Arguments.requireAtLeast(maxOutcomes, 1, "maxOutcomes");
        }
    }
}
