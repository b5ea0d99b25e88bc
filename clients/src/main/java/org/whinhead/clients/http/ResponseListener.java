package org.whinhead.clients.http;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Receives the events of one call on the connection's IO thread, so it must not block. */
public interface ResponseListener {

    /**
     * Called once, before every other method, when the call starts.
     *
     * @param call the call, which the listener may pause or cancel
     */
    default void onStart(final HttpCall call) {}

    /**
     * Called when the status and the headers have arrived.
     *
     * @param status the HTTP status code
     * @param headers the response headers
     */
    void onHeaders(int status, HeaderMap headers);

    /**
     * Called for each part of the body.
     *
     * @param bytes the bytes; valid only until this method returns
     */
    void onBodyBytes(ByteBuffer bytes);

    /** Called when the response is complete; no other method is called afterwards. */
    void onEnd();

    /**
     * Called when the call fails before the response is complete; no further call follows.
     *
     * @param failure the kind of failure
     * @param detail the cause, as text for a person
     */
    void onFailure(HttpFailure failure, String detail);
}
