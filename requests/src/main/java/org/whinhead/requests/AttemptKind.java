package org.whinhead.requests;

/** How an attempt gets its answer. */
enum AttemptKind {
    /** Runs the request from its start. */
    START(true),
    /** Generates on from text that the caller has. */
    CONTINUE(true),
    /** Reads on in a stream that an engine holds. */
    RESUME(false),
    /** Reads on in a stream whose KV cache came from another engine. */
    MOVE(false);

    private final boolean mDispatch;

    AttemptKind(final boolean dispatch) {
        mDispatch = dispatch;
    }

    /** Tells whether the attempt makes an endpoint begin a new run. */
    boolean isDispatch() {
        return mDispatch;
    }
}
