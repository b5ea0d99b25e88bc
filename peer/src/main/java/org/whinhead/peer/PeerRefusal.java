package org.whinhead.peer;

/** The reason for which a connection was closed by this side. */
public enum PeerRefusal {
    /** The TLS handshake failed: an untrusted or expired certificate, or no TLS at all. */
    HANDSHAKE,
    /** The sender is missing, or is not the VM of the certificate or the dialed VM. */
    IDENTITY,
    /** A frame could not be decoded as a message. */
    MALFORMED,
    /** A frame exceeded the maximum length. */
    OVERSIZED,
    /** Too many connections were not yet identified. */
    TOO_MANY,
    /** The peer did not identify itself in time. */
    SILENT,
    /** The certificate expired while the connection was open. */
    EXPIRED,
    /** The peer did not read its replies, and they filled its queue. */
    NOT_READING
}
