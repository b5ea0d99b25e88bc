package org.whinhead.serving.reach;

/** What became of a direct connection to an endpoint that another daemon reached. */
public enum DirectLoss {
    /** It was refused, or accepted and ended; connections that were open before may go on. */
    REFUSED,
    /** It got no reply, and neither will those that were open before. */
    SILENT
}
