package org.whinhead.gateway.endpoint;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.whinhead.gateway.caller.CallerRequest;

/** How requests and answers are spelled at endpoints. */
public interface EndpointProtocol {

    /**
     * Spells the head of a request.
     *
     * @param request the caller's request
     * @param order what is asked of the endpoint
     * @param bodyBytes the length of the body
     * @return the head; its body follows with a length
     */
    HttpRequest encode(CallerRequest request, AttemptContext order, int bodyBytes);

    /**
     * Reads the head of an answer.
     *
     * @param response the head
     * @return what it says
     */
    EndpointResponse decode(HttpResponse response);
}
