package org.whinhead.requests;

/** The reasons why work is repeated. */
public enum RecoveryCause {
    /** The engine was announced to leave and the stream could not be moved in time. */
    ENGINE_LEFT(true),
    /** The engine or the connection to it failed. */
    ENGINE_FAILED(false),
    /** The engine sent nothing within the silence limit. */
    ENGINE_SILENT(false),
    /** The stream did not match the text that the caller has. */
    FOREIGN_STREAM(false),
    /** The caller returned and no engine held the stream any longer. */
    CALLER_RETURNED(true);

    private final boolean mExemptFromRetryBudget;

    RecoveryCause(final boolean exemptFromRetryBudget) {
        mExemptFromRetryBudget = exemptFromRetryBudget;
    }

    /** Returns whether one dispatch is exempt from the retry budget, since nothing failed. */
    boolean isExemptFromRetryBudget() {
        return mExemptFromRetryBudget;
    }
}
