package org.whinhead.requests;

/** Why work was done again. */
public enum RecoveryCause {
    /** The engine was announced to leave and its stream could not be moved in time. */
    ENGINE_LEFT(true),
    /** The engine or the connection to it failed. */
    ENGINE_FAILED(false),
    /** The engine was silent for too long. */
    ENGINE_SILENT(false),
    /** The stream did not belong to the answer that the caller has. */
    FOREIGN_STREAM(false),
    /** The caller came back and no engine held its stream any more. */
    CALLER_RETURNED(true);

    private final boolean mDeparture;

    RecoveryCause(final boolean departure) {
        mDeparture = departure;
    }

    /** Tells whether one dispatch is free of the retry budget, since nothing failed. */
    boolean isExemptFromRetryBudget() {
        return mDeparture;
    }
}
