package org.whinhead.gateway.caller;

import io.netty.handler.codec.http.HttpRequest;

/** How callers spell their requests. */
public interface CallerProtocol {

    /**
     * Reads the head of a request.
     *
     * @param head the head
     * @return what it asks
     * @throws BadRequestException if it can't be acted on
     */
    CallerRequest decode(HttpRequest head) throws BadRequestException;
}
