package org.whinhead.gateway.endpoint;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.serving.endpoint.EndpointEntry;

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
     * Encodes a health check, which has no body.
     *
     * @param endpoint the endpoint
     * @param path the path of its service's health check
     * @return the head of the request
     */
    HttpRequest encodeHealthCheck(EndpointEntry endpoint, String path);

    /**
     * Decodes the head of a response.
     *
     * @param response the head
     * @return the decoded head
     */
    EndpointResponse decode(HttpResponse response);

    /**
     * Returns the endpoint that has answered a health check.
     *
     * @param response the head
     * @return the endpoint's id; empty if the head names none
     */
    Optional<String> decodeEndpointId(HttpResponse response);
}
