package org.whinhead.peer;

/** Why a connection was closed on a peer. */
public enum PeerRefusal {
    /** The TLS handshake failed: a stranger, an expired certificate, or no TLS at all. */
    HANDSHAKE,
    /** The certificate names another VM than the peer says or than was called. */
    IDENTITY,
    /** A frame was no message. */
    MALFORMED,
    /** A frame was longer than allowed. */
    OVERSIZED,
    /** Too many connections had not yet proved who they are. */
    TOO_MANY,
    /** The peer did not say in time who it is. */
    SILENT,
    /** The certificate expired while the connection was open. */
    EXPIRED,
    /** Replies piled up because the peer does not read. */
    NOT_READING
}
