package org.whinhead.serving.ratelimit;

/** The permission to send one request to an endpoint that names a limit. */
public interface Permit {

    /** Gives the permission back; to be called only if the request was certainly not sent. */
    void giveBack();
}
