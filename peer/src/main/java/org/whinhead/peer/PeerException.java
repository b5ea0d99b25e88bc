package org.whinhead.peer;

/** The transport could not start, or a request got no reply. */
public final class PeerException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Makes the exception.
     *
     * @param message what failed
     */
    public PeerException(final String message) {
        super(message);
    }

    /**
     * Makes the exception.
     *
     * @param message what failed
     * @param cause why
     */
    public PeerException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
