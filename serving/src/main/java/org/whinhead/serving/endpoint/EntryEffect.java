package org.whinhead.serving.endpoint;

/** The effect of an entry on the view of an endpoint. */
public enum EntryEffect {
    /** Nothing relevant for serving has changed: a heartbeat, or an outdated record. */
    NONE(false),
    /** The endpoint is new, is leaving, or is usable again. */
    CHANGED(true),
    /** The endpoint has restarted under the same id and has lost its earlier state. */
    RESTARTED(true);

    private final boolean mChange;

    EntryEffect(final boolean change) {
        mChange = change;
    }

    /**
     * Returns whether other daemons must be informed.
     *
     * @return whether anything has changed
     */
    public boolean isChange() {
        return mChange;
    }
}
