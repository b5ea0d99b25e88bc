package org.whinhead.requests;

/** The way in which an attempt obtains its answer. */
enum AttemptKind {
    /** Runs the request from its start. */
    START(true),
    /** Continues generation from the text that the caller has. */
    CONTINUE(true),
    /** Resumes reading a stream that an engine holds. */
    RESUME(false),
    /** Resumes reading a stream whose KV cache was moved from another engine. */
    MOVE(false);

    private final boolean mDispatch;

    AttemptKind(final boolean dispatch) {
        mDispatch = dispatch;
    }

    /** Returns whether the attempt starts a new run at an endpoint. */
    boolean isDispatch() {
        return mDispatch;
    }
}
