package org.whinhead.requests;

/** What is made of the work that a failed or leaving engine has done for an answer. */
public enum RecoveryMode {
    /** Streams are resumed, KV caches moved, and answers continued from the delivered text. */
    KEEP_WORK(true),
    /** Every answer is generated again from its start; the baseline of measurements. */
    START_OVER(false);

    private final boolean mKeepsWork;

    RecoveryMode(final boolean keepsWork) {
        mKeepsWork = keepsWork;
    }

    /** Tells whether streams and delivered text are used. */
    boolean keepsWork() {
        return mKeepsWork;
    }
}
