package org.whinhead.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.serving.crash.RequestIdentity;

class RequestIdentifierTest {

    private static final Optional<String> CUSTOMER = Optional.of("clinic");

    private static CallerRequest request(final String id, final String target) {
        return CallerRequest.builder()
                .id(id)
                .call(HttpMethod.POST, "desk.example", target)
                .forwardedHeaders(new DefaultHttpHeaders())
                .build();
    }

    private static ByteBuf body(final String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    private static RequestIdentity identify(
            final String id,
            final String target,
            final Optional<String> customer,
            final String body) {
        return RequestIdentifier.identify(request(id, target), customer, body(body));
    }

    @Test
    void attemptsOfOneRequestHaveOneIdentity() {
        assertThat(identify("r-1", "/a/1", CUSTOMER, "x"))
                .isEqualTo(identify("r-2", "/a/1", CUSTOMER, "x"));
    }

    @Test
    void otherRequestsHaveOtherIdentities() {
        final RequestIdentity identity = identify("r-1", "/a/1", CUSTOMER, "x");
        assertThat(identify("r-1", "/a/2", CUSTOMER, "x")).isNotEqualTo(identity);
        assertThat(identify("r-1", "/a/1?b", CUSTOMER, "x")).isNotEqualTo(identity);
        assertThat(identify("r-1", "/a/1", CUSTOMER, "y")).isNotEqualTo(identity);
        assertThat(identify("r-1", "/a/1", Optional.of("court"), "x")).isNotEqualTo(identity);
        assertThat(identify("r-1", "/a/1", Optional.empty(), "x")).isNotEqualTo(identity);
    }

    // Guards against texts that are taken for others because their borders move.
    @Test
    void bordersOfTextsCount() {
        assertThat(identify("r-1", "/a", CUSTOMER, "bc"))
                .isNotEqualTo(identify("r-1", "/ab", CUSTOMER, "c"));
    }

    @Test
    void shapeIsKnownWithoutTheDigest() {
        final ByteBuf body = body("x");
        assertThat(RequestIdentifier.shape(request("r-9", "/a/1"), CUSTOMER, body))
                .isEqualTo(identify("r-1", "/a/1", CUSTOMER, "y").shape());
        assertThat(body.readableBytes()).isEqualTo(1);
    }
}
