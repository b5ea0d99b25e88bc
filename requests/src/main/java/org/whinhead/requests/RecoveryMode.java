package org.whinhead.requests;

/** Whether the work of a failed or leaving engine is reused. */
public enum RecoveryMode {
    /** Resume streams, move KV caches, and continue answers from the delivered text. */
    KEEP_WORK(true),
    /** Generate every answer again from its start; the baseline of measurements. */
    START_OVER(false);

    private final boolean mKeepsWork;

    RecoveryMode(final boolean keepsWork) {
        mKeepsWork = keepsWork;
    }

    /** Returns whether streams and delivered text are reused. */
    boolean keepsWork() {
        return mKeepsWork;
    }
}
