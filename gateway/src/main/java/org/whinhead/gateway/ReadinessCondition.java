package org.whinhead.gateway;

import java.util.Locale;

/** What a daemon needs before it accepts requests. */
enum ReadinessCondition {
    /** The port for callers is open. */
    CALLER_PORT,
    /** A configuration is in force. */
    CONFIGURATION,
    /** The list of endpoints has been read. */
    ENDPOINTS,
    /** The table of shares has been read, or no customer is limited. */
    SHARE_TABLE;

    /** Returns the name in log lines. */
    String logName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
