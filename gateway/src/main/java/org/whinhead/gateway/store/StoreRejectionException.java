package org.whinhead.gateway.store;

import java.io.IOException;

/** Thrown when the store answers a call with a failure: it was reached and rejected the call. */
public final class StoreRejectionException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param status the HTTP status of the answer
     */
    public StoreRejectionException(final int status) {
        super("store answered with status " + status);
    }

    /**
     * Returns whether a failed call was rejected, in contrast to one without an answer.
     *
     * @param failure the failure of a call's future
     * @return whether it is this exception, by itself or as the cause
     */
    public static boolean isRejection(final Throwable failure) {
        return failure instanceof StoreRejectionException
                || failure.getCause() instanceof StoreRejectionException;
    }
}
