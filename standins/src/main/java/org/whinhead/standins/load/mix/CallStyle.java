package org.whinhead.standins.load.mix;

/** The type of target and answer of a request, and whether it is idempotent. */
public enum CallStyle {
    /** A request to a model, answered by a stream of tokens. */
    STREAMED(true, false, true),
    /** A request to a model, answered by one JSON body. */
    WHOLE(true, false, false),
    /** An idempotent request to a plain service. */
    PLAIN(true, true, false),
    /** A request to a plain service that must not run more than once. */
    PLAIN_ONCE(false, true, false);

    private final boolean mIdempotent;
    private final boolean mPlainService;
    private final boolean mStreamed;

    CallStyle(final boolean idempotent, final boolean plainService, final boolean streamed) {
        mIdempotent = idempotent;
        mPlainService = plainService;
        mStreamed = streamed;
    }

    /** Returns whether the request may run more than once. */
    public boolean isIdempotent() {
        return mIdempotent;
    }

    /** Returns whether the target is a plain service instead of a model. */
    public boolean isPlainService() {
        return mPlainService;
    }

    /** Returns whether the answer is streamed token by token. */
    public boolean isStreamed() {
        return mStreamed;
    }
}
