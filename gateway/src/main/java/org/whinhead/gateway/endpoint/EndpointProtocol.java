package org.whinhead.gateway.endpoint;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.whinhead.gateway.caller.CallerRequest;

/** Encodes requests to endpoints and decodes their responses. */
public interface EndpointProtocol {

    /**
     * Encodes the head of a request.
     *
     * @param request the caller's request
     * @param context the parameters of the attempt
     * @param bodyBytes the length of the body in bytes
     * @return the head, which states the length of the body
     */
    HttpRequest encode(CallerRequest request, AttemptContext context, int bodyBytes);

    /**
     * Decodes the head of a response.
     *
     * @param response the head
     * @return the decoded head
     */
    EndpointResponse decode(HttpResponse response);
}
