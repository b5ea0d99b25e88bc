package org.whinhead.report;

import java.time.Duration;

/** The spans of time over which burn is shown. */
public enum Window {
    /** Short: an outage shows at once. */
    SHORT("5 min", Duration.ofMinutes(5)),
    /** Middle: a lasting fault shows, a blip does not. */
    MIDDLE("1 h", Duration.ofHours(1)),
    /** Long: slow burn shows. */
    LONG("6 h", Duration.ofHours(6));

    private final String mTitle;
    private final Duration mLength;

    Window(final String title, final Duration length) {
        mTitle = title;
        mLength = length;
    }

    /** Returns the name for people. */
    public String title() {
        return mTitle;
    }

    /** Returns the window's length. */
    public Duration length() {
        return mLength;
    }
}
