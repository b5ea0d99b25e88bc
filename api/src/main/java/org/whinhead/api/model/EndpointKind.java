package org.whinhead.api.model;

/** What kind of back end an endpoint is. */
public enum EndpointKind {
    /** A model engine, which streams tokens and can resume, export and import streams. */
    MODEL_ENGINE(true),
    /** A plain service, which answers whole and some of whose calls may not be repeated. */
    PLAIN_SERVICE(false);

    private final boolean mStreams;

    EndpointKind(final boolean streams) {
        mStreams = streams;
    }

    /** Tells whether answers arrive as streams that can be resumed. */
    public boolean isStreaming() {
        return mStreams;
    }
}
