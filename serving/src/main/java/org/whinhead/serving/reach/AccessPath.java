package org.whinhead.serving.reach;

/** The way from a daemon to an endpoint. */
public enum AccessPath {
    /** A connection of the daemon's own. */
    DIRECT,
    /** A connection through another daemon, which forwards all bytes. */
    RELAYED
}
