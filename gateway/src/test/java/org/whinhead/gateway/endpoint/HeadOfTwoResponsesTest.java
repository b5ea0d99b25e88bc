package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a failure that reaches the caller as a success: a begun response and a status line
 * that a lax decoder accepts, or drops, are read as one head.
 */
class HeadOfTwoResponsesTest {

    private final List<String> mReceived = new ArrayList<>();

    private final EndpointResponseListener mListener =
            new EndpointResponseListener() {
                @Override
                public void headReceived(final EndpointResponse response) {
                    mReceived.add("head " + response.status().code());
                }

                @Override
                public void bodyReceived(final ByteBuf bytes) {
                    mReceived.add("body");
                }

                @Override
                public void completed(final ResponseEnd end) {
                    mReceived.add("end");
                }

                @Override
                public void pathLost() {
                    mReceived.add("path lost");
                }

                @Override
                public void failed(final EndpointFailure failure) {
                    mReceived.add(failure.name());
                }
            };

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            ignoreLeadingAndTrailingWhitespace = false,
            value = {
                "HTTP/1.1 200 OK~Date |HTTP/1.1 500 Error",
                "HTTP/1.1 200 OK~Date\t|HTTP/1.1 500 Error",
                "HTTP/1.1 200 OK~Date |HTTP/1.1 500 Error: failed",
                "HTTP/1.1 200 OK~Date| HTTP/1.1 500 Error",
                "HTTP/1.1 103 Early Hints~Date |HTTP/1.1 500 Error",
                "HTTP/1.1 103 Early|HTTP/1.1 500 Error",
                "HTTP/1.1 200 O|http/1.1 500 Error",
                "HTTP/1.1 200 O|HTTP/1.1  500 Error",
                "HTTP/1.1 200 O|HTTP/1.1\t500 Error",
                "HTTP/1.1 200 O|HTTP/2.0 500 Error",
                "HTTP/1.1 200 OK~Date: S|http/1.1 500 Error",
                "HTTP/1.1 200 OK~Date: S|HTTP/1.1  500 Error",
                "HTTP/1.1 200 OK~Date: S|HTTP/1.1\t500 Error",
                "HTTP/1.1 200 OK~Date: S|HTTP/2.0 500 Error",
                "HTTP/1.1 200 OK~Date: S~ |HTTP/1.1 500 Error",
                "x|HTTP/1.1 500 Error",
                "|http/1.1 500 Error",
                "|HTTP/1.1  500 Error",
                "|HTTP/1.1 5000 Error",
                "|HTTP/2.0 500 Error"
            })
    void isNotDecoded(final String begun, final String statusLine) {
        final ConnectionFixture fixture = new ConnectionFixture();
        fixture.send(HttpMethod.GET, mListener);
        fixture.read("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1_000);
        fixture.endTurn();
        mReceived.clear();
        fixture.send(HttpMethod.GET, mListener);
        if (begun != null) {
            fixture.read(begun.replace("~", "\r\n"), 1_000);
        }
        fixture.read(statusLine + "\r\nX: a\r\nContent-Length: 2\r\n\r\nno", 1_000);
        assertThat(mReceived).hasSize(1).doesNotContain("head 200", "head 500");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"HTTP/1.1 500 Error", "HTTP/1.0 500 Error", "HTTP/1.1 500", "HTTP/1.1 500 "})
    void soundStatusLineIsDecoded(final String statusLine) {
        final ConnectionFixture fixture = new ConnectionFixture();
        fixture.send(HttpMethod.GET, mListener);
        fixture.read(statusLine + "\r\nVia: HTTP/1.1 a\r\nEmpty:\r\n\r\nno", 1_000);
        assertThat(mReceived).containsExactly("head 500", "body");
    }
}
