package org.whinhead.gateway.endpoint;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.OptionalInt;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.serving.endpoint.EndpointEntry;

/** A protocol for tests whose requests are sent as they are; "Request" names their ids. */
final class PlainProtocol implements EndpointProtocol {

    @Override
    public HttpRequest encode(
            final CallerRequest request, final AttemptContext context, final int bodyBytes) {
        throw new AssertionError("not used");
    }

    @Override
    public HttpRequest encodeHealthCheck(final EndpointEntry endpoint, final String path) {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    }

    @Override
    public EndpointResponse decode(final HttpResponse response) {
        return new EndpointResponse(
                response.status(),
                response.headers(),
                Optional.ofNullable(response.headers().get("Request")),
                false,
                false,
                true,
                Optional.empty(),
                new EndpointStatements(
                        response.headers().contains("Leaving"),
                        Optional.empty(),
                        OptionalInt.empty(),
                        Optional.empty()),
                !HttpUtil.isKeepAlive(response));
    }

    @Override
    public Optional<String> decodeEndpointId(final HttpResponse response) {
        return Optional.ofNullable(response.headers().get("Endpoint"));
    }
}
