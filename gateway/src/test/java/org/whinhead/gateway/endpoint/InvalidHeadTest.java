package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against bytes that are no response and that callers get as the response of an endpoint.
 */
class InvalidHeadTest {

    private static final String REST = "Content-Length: 2\r\n\r\nok";

    private final List<String> mReceived = new ArrayList<>();

    private final EndpointResponseListener mListener =
            new EndpointResponseListener() {
                @Override
                public void headReceived(final EndpointResponse response) {
                    mReceived.add("head " + response.status().code());
                }

                @Override
                public void bodyReceived(final ByteBuf bytes) {
                    mReceived.add("body " + bytes.toString(StandardCharsets.UTF_8));
                }

                @Override
                public void completed(final ResponseEnd end) {
                    mReceived.add("end " + end);
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

    /** A status code is one of three digits, the first of them 1 to 5 (RFC 9110, section 15). */
    @Test
    void status() {
        final List<String> passed = new ArrayList<>();
        for (final String status :
                List.of(
                        "000",
                        "001",
                        "019",
                        "099",
                        "600",
                        "999",
                        "+20",
                        "-20",
                        "-00",
                        "2 0",
                        " 20",
                        "20 ",
                        "\u0000" + "20",
                        "20\u0000",
                        "2e2",
                        "0x2",
                        "٢٠٠")) {
            collect("HTTP/1.1 " + status + " OK\r\n" + REST, "status [" + status + "]", passed);
            collect("HTTP/1.1 " + status + "\r\n" + REST, "bare status [" + status + "]", passed);
        }
        assertThat(passed).isEmpty();
    }

    /**
     * The name of a field is a token (RFC 9110, section 5.1), and nothing is between it and the
     * colon.
     */
    @Test
    void fieldName() {
        final List<String> passed = new ArrayList<>();
        for (final int octet :
                IntStream.range(0, 256)
                        .filter(value -> !isTokenOctet(value) && value != ':')
                        .toArray()) {
            for (int at = 0; at <= 4; at++) {
                final String name = "X-Ab".substring(0, at) + (char) octet + "X-Ab".substring(at);
                final String what = "octet " + octet + " at " + at;
                collect("HTTP/1.1 200 OK\r\n" + name + ": v\r\n" + REST, what + ", first", passed);
                collect(
                        "HTTP/1.1 200 OK\r\nDate: a\r\n" + name + ": v\r\n" + REST,
                        what + ", second",
                        passed);
                collect(
                        "HTTP/1.1 200 OK\r\n"
                                + REST.replace("\r\n\r\n", "\r\n" + name + ": v\r\n\r\n"),
                        what + ", last",
                        passed);
            }
        }
        assertThat(passed).isEmpty();
    }

    /** The names on which the end of a response depends. */
    @Test
    void nameOfFraming() {
        final List<String> passed = new ArrayList<>();
        for (final int octet :
                IntStream.range(0, 256)
                        .filter(value -> !isTokenOctet(value) && value != ':')
                        .toArray()) {
            for (final String name : List.of("Content-Length", "Transfer-Encoding")) {
                for (final int at : new int[] {0, 7, name.length()}) {
                    final String wrong = name.substring(0, at) + (char) octet + name.substring(at);
                    final String value = name.startsWith("C") ? "2" : "chunked";
                    final String body = name.startsWith("C") ? "ok" : "2\r\nok\r\n0\r\n\r\n";
                    collect(
                            "HTTP/1.1 200 OK\r\n" + wrong + ": " + value + "\r\n\r\n" + body,
                            name + " with octet " + octet + " at " + at,
                            passed);
                }
            }
        }
        assertThat(passed).isEmpty();
    }

    /**
     * NUL, CR and LF make a field invalid (RFC 9110, section 5.5); other controls are no field
     * text.
     */
    @Test
    void fieldValue() {
        final List<String> passed = new ArrayList<>();
        for (int octet = 0; octet < 128; octet++) {
            if (octet < ' ' && octet != '\t' && octet != '\n' || octet == 127) {
                collect(
                        "HTTP/1.1 200 OK\r\nDate: a" + (char) octet + "b\r\n" + REST,
                        "value with octet " + octet,
                        passed);
                collect(
                        "HTTP/1.1 200 OK\r\nContent-Length: 2" + (char) octet + "\r\n\r\nok",
                        "length with octet " + octet,
                        passed);
                collect(
                        "HTTP/1.1 200 O" + (char) octet + "K\r\n" + REST,
                        "reason with octet " + octet,
                        passed);
                collect(
                        (char) octet + "HTTP/1.1 200 OK\r\n" + REST,
                        "octet " + octet + " before the status line",
                        passed);
            }
        }
        for (final String line :
                List.of(
                        ": v",
                        " Date: v",
                        "\tDate: v",
                        "Date",
                        "Date v",
                        "Content-Length: +2",
                        "Content-Length: 2, 2",
                        "Content-Length: 2,3",
                        "Content-Length: -2",
                        "Content-Length: 0x2",
                        "Content-Length: ",
                        "Content-Length: 3",
                        "Transfer-Encoding: chunked",
                        "Transfer-Encoding: gzip, chunked",
                        "Transfer-Encoding : chunked",
                        "Transfer-Encoding: xchunked")) {
            collect("HTTP/1.1 200 OK\r\n" + line + "\r\n" + REST, "line [" + line + "]", passed);
        }
        assertThat(passed).isEmpty();
    }

    /** An interim response with such a head is none, also if the final one comes with it. */
    @Test
    void interimHead() {
        final List<String> passed = new ArrayList<>();
        for (final String head :
                List.of(
                        "HTTP/1.1 103 Hin\u0001ts\r\nLink: a\r\n",
                        "HTTP/1.1 103 Hints\r\nLink: a\r\n X: b\r\n",
                        "HTTP/1.1 103 Hints\r\nLi nk: a\r\n",
                        "HTTP/1.1 000 Hints\r\nLink: a\r\n",
                        "HTTP/1.1 099 Hints\r\nLink: a\r\n")) {
            collect(head + "\r\nHTTP/1.1 200 OK\r\n" + REST, "interim [" + head + "]", passed);
        }
        assertThat(passed).isEmpty();
    }

    /** What a trailer holds reaches no caller, and the body before it is whole or refused. */
    @Test
    void trailers() {
        for (final String line :
                List.of(
                        "X: a\r\n X: b",
                        " X: a",
                        "X a: b",
                        "X\u0001: b",
                        "X: b\u0001",
                        ": b",
                        "X")) {
            for (final int segment : new int[] {1, 10_000}) {
                receive(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                                + line
                                + "\r\n\r\n",
                        segment);
                assertThat(mReceived).as(line).first().isEqualTo("head 200");
                assertThat(String.join(" ", mReceived).replace("body ", "").replace(" ", ""))
                        .as(line)
                        .matches("head200(ok)?(endDECLARED|NOT_HTTP)");
            }
        }
    }

    private void collect(final String text, final String what, final List<String> passed) {
        for (final int segment : new int[] {1, 10_000}) {
            receive(text, segment);
            if (mReceived.stream()
                    .anyMatch(part -> part.startsWith("head") || part.startsWith("end"))) {
                passed.add(what + " by " + segment + ": " + mReceived);
            }
        }
    }

    private void receive(final String text, final int segment) {
        mReceived.clear();
        final ConnectionFixture fixture = new ConnectionFixture();
        fixture.send(HttpMethod.POST, mListener);
        fixture.read(text, segment);
        fixture.endTurn();
        fixture.endInput();
        fixture.endTurn();
    }

    private static boolean isTokenOctet(final int octet) {
        return octet >= 'a' && octet <= 'z'
                || octet >= 'A' && octet <= 'Z'
                || octet >= '0' && octet <= '9'
                || "!#$%&'*+-.^_`|~".indexOf(octet) >= 0;
    }
}
