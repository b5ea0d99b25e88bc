package org.whinhead.gateway.caller;

import io.netty.handler.codec.http.HttpRequest;

/** Decodes the requests of callers. */
public interface CallerProtocol {

    /**
     * Decodes the head of a request.
     *
     * @param head the head
     * @return the decoded request, without its body
     * @throws BadRequestException if the head is malformed
     */
    CallerRequest decode(HttpRequest head) throws BadRequestException;
}
