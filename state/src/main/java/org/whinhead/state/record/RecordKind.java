package org.whinhead.state.record;

import java.util.Optional;

/** The record kinds that this program version knows, with their names on the log. */
enum RecordKind {
    SETTING_CHANGED("setting-changed", LogRecord.SettingChanged.class),
    RULES_ACTIVATED("rules-activated", LogRecord.RulesActivated.class),
    LEASE_TAKEN("lease-taken", LogRecord.LeaseTaken.class),
    LEASE_RENEWED("lease-renewed", LogRecord.LeaseRenewed.class),
    LEASE_RELEASED("lease-released", LogRecord.LeaseReleased.class),
    VM_LEAVING("vm-leaving", LogRecord.VmLeaving.class),
    BUDGET_GRANT("budget-grant", LogRecord.BudgetGrant.class),
    DUTY_NOTED("duty-noted", LogRecord.DutyNoted.class),
    CHECKPOINT("checkpoint", LogRecord.Checkpoint.class),
    CLAIM_BATCH("claim-batch", LogRecord.ClaimBatch.class);

    private final String mLabel;
    private final Class<? extends LogRecord> mType;

    RecordKind(final String label, final Class<? extends LogRecord> type) {
        mLabel = label;
        mType = type;
    }

    String label() {
        return mLabel;
    }

    Class<? extends LogRecord> type() {
        return mType;
    }

    static Optional<RecordKind> ofLabel(final String label) {
        for (final RecordKind kind : values()) {
            if (kind.mLabel.equals(label)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    static RecordKind of(final LogRecord record) {
        for (final RecordKind kind : values()) {
            if (kind.mType.isInstance(record)) {
                return kind;
            }
        }
        throw new IllegalArgumentException("no record kind for " + record.getClass());
    }
}
