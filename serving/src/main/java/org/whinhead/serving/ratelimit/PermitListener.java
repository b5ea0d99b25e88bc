package org.whinhead.serving.ratelimit;

import java.time.Duration;

/** Receives the outcome of a claim, once, during or after the call that makes the claim. */
public interface PermitListener {

    /**
     * Called if the request may be sent.
     *
     * @param wait the time until then
     * @param permit the permit, to be given back if the request is not sent
     */
    void granted(Duration wait, Permit permit);

    /** Called if the request may not be sent. */
    void denied();
}
