package org.whinhead.state.checkpoint;

/** Thrown when bytes are not a checkpoint that this version can read. */
public final class CheckpointException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the description of the error
     * @param cause the parser's error, or null
     */
    public CheckpointException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
