package org.whinhead.serving.endpoint;

/** What an entry changed in the view of an endpoint. */
public enum EntryEffect {
    /** Nothing that matters for serving; a heartbeat, or a record that is too old. */
    NONE(false),
    /** The endpoint came, is leaving, or is usable again. */
    CHANGED(true),
    /** It is another start under the id of one before, and holds nothing of what that one held. */
    RESTARTED(true);

    private final boolean mChange;

    EntryEffect(final boolean change) {
        mChange = change;
    }

    /**
     * Tells whether others must hear of it.
     *
     * @return whether anything changed
     */
    public boolean isChange() {
        return mChange;
    }
}
