package org.whinhead.peer;

/** Thrown when the transport cannot start, and the failure of a request that gets no reply. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what failed
     */
    public PeerException(final String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message what failed
     * @param cause the cause
     */
    public PeerException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
