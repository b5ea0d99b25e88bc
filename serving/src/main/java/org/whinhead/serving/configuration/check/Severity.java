package org.whinhead.serving.configuration.check;

/** How serious a finding is. */
public enum Severity {
    /** Daemons reject the configuration. */
    ERROR,
    /** Daemons accept the configuration, but an entry does not do what it seems to say. */
    WARNING,
    /** A difference that harms no caller. */
    NOTE
}
