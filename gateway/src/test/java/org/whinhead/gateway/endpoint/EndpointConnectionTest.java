package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.reach.AccessPath;
import org.whinhead.serving.reach.EndpointReach;

class EndpointConnectionTest {

    private final List<String> mReceived = new ArrayList<>();
    private EndpointConnection mConnection;
    private EmbeddedChannel mChannel;

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
                    mReceived.add(end == ResponseEnd.DECLARED ? "end" : "closed");
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

    @BeforeEach
    void connect() {
        final PlainProtocol protocol = new PlainProtocol();
        final EndpointConnections connections =
                new EndpointConnections(
                        InstantSource.system(), protocol, null, new EndpointReach());
        mConnection =
                new EndpointConnection(
                        protocol, connections.new Pool("e-1", "api"), InstantSource.system());
        mChannel =
                new EmbeddedChannel(
                        new HttpClientCodec(new HttpDecoderConfig(), false, false), mConnection);
        mConnection.opened(AccessPath.DIRECT);
        mConnection.send(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a"),
                Unpooled.EMPTY_BUFFER,
                mListener);
    }

    private void receive(final String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Test
    void completeResponseIsDeliveredAndConnectionIsReusable() {
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        mChannel.runPendingTasks();
        assertThat(mReceived).containsExactly("head 200", "body ok", "end");
        assertThat(mConnection.isUsable()).isTrue();
    }

    // Guards against a caller receiving the response to another caller's request: an endpoint sends
    // an extra response right after the first, and it waits on the connection when the next request
    // uses it.
    @Test
    void connectionWithBytesAfterResponseIsNotReused() {
        receive(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        mChannel.runPendingTasks();
        assertThat(mReceived).containsExactly("head 200", "body ok", "end");
        assertThat(mConnection.isUsable()).isFalse();
    }

    @Test
    void unexpectedResponseClosesConnection() {
        receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        mChannel.runPendingTasks();
        receive("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertThat(mConnection.isUsable()).isFalse();
    }

    // Guards against passing a truncated response as complete: the endpoint closes the connection
    // before it has sent the stated length.
    @Test
    void responseShorterThanItsLengthFails() {
        receive("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok");
        mChannel.close();
        assertThat(mReceived).containsExactly("head 200", "body ok", "CONNECTION_LOST");
    }

    @Test
    void responseWithoutLengthEndsWithItsConnection() {
        receive("HTTP/1.1 200 OK\r\n\r\nok");
        mChannel.close();
        assertThat(mReceived).containsExactly("head 200", "body ok", "closed");
    }

    // Guards against taking a part of a response without a length for the complete one after the
    // connection was reset.
    @Test
    void responseWithoutLengthFailsIfConnectionIsReset() {
        receive("HTTP/1.1 200 OK\r\n\r\nok");
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        mChannel.close();
        assertThat(mReceived).containsExactly("head 200", "body ok", "CONNECTION_LOST");
    }

    @Test
    void bytesThatAreNotHttpFailTheRequest() {
        receive("\u0001\u0002\u0003 nonsense\r\n\r\n");
        assertThat(mReceived).containsExactly("NOT_HTTP");
        assertThat(mConnection.isUsable()).isFalse();
    }

    @Test
    void connectionClosedByItsEndpointIsNotReused() {
        receive("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        mChannel.runPendingTasks();
        assertThat(mReceived).contains("end");
        assertThat(mConnection.isUsable()).isFalse();
    }
}
