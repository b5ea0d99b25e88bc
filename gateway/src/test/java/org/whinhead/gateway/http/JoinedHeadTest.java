package org.whinhead.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JoinedHeadTest {

    private static DefaultHttpResponse head(final String reason, final String value) {
        final DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, new HttpResponseStatus(200, reason));
        response.headers().set("Date", value);
        return response;
    }

    @Test
    void statusLineInReasonPhraseIsFound() {
        assertThat(JoinedHead.find(head("OHTTP/1.1 500 Internal Server Error", "Sat")))
                .contains("reason phrase");
    }

    @Test
    void statusLineInFieldIsFound() {
        assertThat(JoinedHead.find(head("OK", "SatHTTP/1.0 503 "))).contains("Date");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "1.1 proxy", "HTTP/1.1 proxy", "HTTP/2 200", "HTTP/1.", "HTTP/1.1 20"})
    void otherFieldsAreNoStatusLine(final String value) {
        assertThat(JoinedHead.find(head("OK", value))).isEmpty();
    }
}
