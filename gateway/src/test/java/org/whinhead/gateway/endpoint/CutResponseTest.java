package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks what a listener receives of responses that are cut within a head or before their end. */
class CutResponseTest {

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

    // Guards against an answer that its endpoint ends within the head and that callers get as
    // whole.
    @ParameterizedTest
    @EnumSource(ResponseFraming.class)
    void closedWithinHead(final ResponseFraming framing) {
        final String head = "HTTP/1.1 200 OK\r\nDate: Sat\r\nRequest: a1\r\n";
        final String whole = framing.render(head, "abcdefgh");
        final int heads =
                framing == ResponseFraming.INTERIM_RESPONSE_FIRST
                        ? whole.indexOf("\r\n\r\n", whole.indexOf("\r\n\r\n") + 4) + 4
                        : whole.indexOf("\r\n\r\n") + 4;
        for (int cut = 0; cut < heads; cut++) {
            for (final int segment : new int[] {1, 7, 10_000}) {
                mReceived.clear();
                final ConnectionFixture fixture = new ConnectionFixture();
                fixture.send(framing.method(), mListener);
                fixture.read(whole.substring(0, cut), segment);
                fixture.endInput();
                fixture.endTurn();
                assertThat(mReceived)
                        .as("%s cut at %d: %s", framing, cut, whole.substring(0, cut))
                        .hasSize(1)
                        .noneMatch(text -> text.startsWith("head") || text.startsWith("end"));
                assertThat(fixture.connection().isUsable()).isFalse();
            }
        }
    }

    // Guards against a body or trailers that are cut and count as complete.
    @ParameterizedTest
    @EnumSource(
            value = ResponseFraming.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"UNTIL_CLOSED", "HEAD"})
    void closedBeforeEnd(final ResponseFraming framing) {
        final String whole = framing.render("HTTP/1.1 200 OK\r\n", "abcdefgh");
        for (int cut = 0; cut < whole.length(); cut++) {
            mReceived.clear();
            final ConnectionFixture fixture = new ConnectionFixture();
            fixture.send(framing.method(), mListener);
            fixture.read(whole.substring(0, cut), 5);
            fixture.endInput();
            fixture.endTurn();
            assertThat(mReceived)
                    .as("%s cut at %d", framing, cut)
                    .noneMatch(text -> text.startsWith("end"));
        }
    }
}
