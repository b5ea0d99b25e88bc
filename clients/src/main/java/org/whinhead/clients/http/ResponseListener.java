package org.whinhead.clients.http;

import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;

/** Told of one call's response, always on the connection's IO thread, so it must not block. */
public interface ResponseListener {

    /**
     * The call starts; comes before every other call.
     *
     * @param call the call, by which the listener may pause or cancel it
     */
    default void onStart(final HttpCall call) {}

    /**
     * The response began.
     *
     * @param status the HTTP status
     * @param headers its headers
     */
    void onHeaders(int status, HeaderMap headers);

    /**
     * Some of the body arrived.
     *
     * @param bytes the bytes; valid only during the call
     */
    void onBodyBytes(ByteBuffer bytes);

    /** The response ended as it should; no further call follows. */
    void onEnd();

    /**
     * The call ended without a whole response; no further call follows.
     *
     * @param failure how it ended
     * @param detail the cause, for people
     */
    void onFailure(HttpFailure failure, String detail);
}
