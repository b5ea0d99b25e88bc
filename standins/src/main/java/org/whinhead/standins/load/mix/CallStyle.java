package org.whinhead.standins.load.mix;

/** How a request is sent and how its answer comes back. */
public enum CallStyle {
    /** A model's answer, token by token. */
    STREAMED(true, false, true),
    /** A model's answer in one piece. */
    WHOLE(true, false, false),
    /** A plain service's call that may be repeated. */
    PLAIN(true, true, false),
    /** A plain service's call that must not be repeated. */
    PLAIN_ONCE(false, true, false);

    private final boolean mIdempotent;
    private final boolean mPlainService;
    private final boolean mStreamed;

    CallStyle(final boolean idempotent, final boolean plain, final boolean streamed) {
        mIdempotent = idempotent;
        mPlainService = plain;
        mStreamed = streamed;
    }

    /** Tells whether the request may run more than once. */
    public boolean isIdempotent() {
        return mIdempotent;
    }

    /** Tells whether a plain service answers, not a model. */
    public boolean isPlainService() {
        return mPlainService;
    }

    /** Tells whether tokens arrive as they are generated. */
    public boolean isStreamed() {
        return mStreamed;
    }
}
