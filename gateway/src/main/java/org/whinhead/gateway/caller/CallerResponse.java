package org.whinhead.gateway.caller;

import io.netty.buffer.ByteBuf;
import org.whinhead.gateway.endpoint.EndpointResponse;

/** The response to one request of a caller. All methods are called on the event loop. */
public interface CallerResponse {

    /**
     * Sends the head of an endpoint's response.
     *
     * @param response the head
     */
    void start(EndpointResponse response);

    /**
     * Sends a part of the body.
     *
     * @param bytes the part, which this call releases
     * @return true if the caller reads fast enough; if false, {@link
     *     CallerRequestHandler.ActiveRequest#callerCaughtUp} follows
     */
    boolean write(ByteBuf bytes);

    /** Ends a complete response. */
    void finish();

    /** Aborts a response such that the caller can't mistake it for a complete one. */
    void abort();

    /**
     * Sends a response that this daemon itself creates.
     *
     * @param refusal the response
     */
    void refuse(RefusalResponse refusal);
}
