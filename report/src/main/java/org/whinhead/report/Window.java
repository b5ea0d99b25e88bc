package org.whinhead.report;

import java.time.Duration;

/** The time windows over which burn rates are computed. */
public enum Window {
    /** Shows an outage at once. */
    SHORT("5 min", Duration.ofMinutes(5)),
    /** Shows a lasting fault, but not a brief one. */
    MIDDLE("1 h", Duration.ofHours(1)),
    /** Shows a slow burn. */
    LONG("6 h", Duration.ofHours(6));

    private final String mTitle;
    private final Duration mLength;

    Window(final String title, final Duration length) {
        mTitle = title;
        mLength = length;
    }

    /** Returns the display name. */
    public String title() {
        return mTitle;
    }

    /** Returns the window's length. */
    public Duration length() {
        return mLength;
    }
}
