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
 * Applies changes of settings in log order, by compare-and-set on the path's revision.
 *
 * <p>Of two concurrent changes, or two copies of one, the second names a revision that is no longer
 * in force and is rejected on every daemon.
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
     * Creates an empty ledger.
     *
     * @param validator the validator of documents
     * @param authorizer the check of an operator's right to change a path
     * @param limits the limits of the history; must be the same on every daemon
     */
    public SettingsLedger(
            final SettingsValidator validator,
            final SettingsAuthorizer authorizer,
            final Limits limits) {
        mValidator = Objects.requireNonNull(validator, "validator");
        mAuthorizer = Objects.requireNonNull(authorizer, "authorizer");
        mLimits = Objects.requireNonNull(limits, "limits");
    }

    /** Returns the settings after the last applied record. */
    public SettingsState snapshot() {
        if (mSnapshot == null) {
            mSnapshot = new SettingsState(mRulesVersion, mHistory, List.copyOf(mOutcomes.values()));
        }
        return mSnapshot;
    }

    /**
     * Replaces the settings.
     *
     * @param state the new state
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
     * Returns whether this program version supports a rules version.
     *
     * @param rules the rules version
     * @return whether the validator supports the rules version
     */
    public boolean supports(final int rules) {
        return mValidator.supports(rules);
    }

    /**
     * Activates a rules version; a version that is not higher than the current one is ignored.
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
     * Decides a change and records its outcome.
     *
     * @param record the change
     * @param offset the offset of the record
     */
    public void apply(final LogRecord.SettingChanged record, final long offset) {
        // An operator who received no response may repeat a change through another daemon. The
        // records then differ but the change identifier does not, and the first outcome remains.
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

    /**
     * Returns the settings without outcomes, which are costly to copy and do not affect decisions.
     */
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
     * The limits of the history.
     *
     * @param maxRevisionsPerPath the highest number of revisions kept for each path, at least 1
     * @param maxOutcomes the highest number of outcomes kept for all paths together, at least 1
     */
    public record Limits(int maxRevisionsPerPath, int maxOutcomes) {

        /** Enough for audits and for two days of changes in the larger deployment size. */
        public static final Limits DEFAULT = new Limits(64, 20_000);

        /** Checks both limits. */
        public Limits {
            Arguments.requireAtLeast(maxRevisionsPerPath, 1, "maxRevisionsPerPath");
            Arguments.requireAtLeast(maxOutcomes, 1, "maxOutcomes");
        }
    }
}
