package org.whinhead.gateway.caller;

import io.netty.buffer.ByteBuf;

/** Serves requests of callers. */
public interface CallerRequestHandler {

    /**
     * Serves a request that was read whole.
     *
     * @param request the request
     * @param body its body, which the handler releases
     * @param answer takes the answer
     * @return the request under way
     */
    ActiveRequest serve(CallerRequest request, ByteBuf body, CallerResponse answer);

    /** A request under way. */
    interface ActiveRequest {

        /** The caller has closed its connection. */
        void callerDisconnected();

        /** The caller has read what was written to it. */
        void callerCaughtUp();
    }
}
