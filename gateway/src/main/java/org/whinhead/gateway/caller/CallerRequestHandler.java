package org.whinhead.gateway.caller;

import io.netty.buffer.ByteBuf;

/** Serves the requests of callers. */
public interface CallerRequestHandler {

    /**
     * Serves a completely received request.
     *
     * @param request the request
     * @param body the body, which the handler releases
     * @param response receives the response
     * @return the request in progress
     */
    ActiveRequest serve(CallerRequest request, ByteBuf body, CallerResponse response);

    /** A request in progress, which is notified of its caller's connection. */
    interface ActiveRequest {

        /** Called when the caller has closed its connection. */
        void callerDisconnected();

        /** Called when the caller has read enough of the response for more to be written. */
        void callerCaughtUp();
    }
}
