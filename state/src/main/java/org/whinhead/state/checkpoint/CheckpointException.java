package org.whinhead.state.checkpoint;

/** Bytes are not a checkpoint that this version can read. */
public final class CheckpointException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Makes the exception.
     *
     * @param message what is wrong
     * @param cause the parser's error
     */
    public CheckpointException(final String message, final Throwable cause) {
        super(message, cause);
    }
}
