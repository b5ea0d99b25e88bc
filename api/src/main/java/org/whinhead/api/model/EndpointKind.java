package org.whinhead.api.model;

/** Kind of back end that an endpoint is. */
public enum EndpointKind {
    /** A model engine, which streams tokens and can resume, export and import streams. */
    MODEL_ENGINE(true),
    /** A plain service: returns complete responses; some of its calls must not be repeated. */
    PLAIN_SERVICE(false);

    private final boolean mIsStreaming;

    EndpointKind(final boolean isStreaming) {
        mIsStreaming = isStreaming;
    }

    /** Returns whether responses arrive as streams that can be resumed. */
    public boolean isStreaming() {
        return mIsStreaming;
    }
}
