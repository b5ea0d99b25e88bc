package org.whinhead.gateway.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerRequest;

class EndpointConnectionTest {

    private final List<String> mHeard = new ArrayList<>();
    private EndpointConnection mConnection;
    private EmbeddedChannel mChannel;

    private final EndpointResponseListener mListener =
            new EndpointResponseListener() {
                @Override
                public void headReceived(final EndpointResponse answer) {
                    mHeard.add("head " + answer.status().code());
                }

                @Override
                public void bodyReceived(final ByteBuf bytes) {
                    mHeard.add("body " + bytes.toString(StandardCharsets.UTF_8));
                }

                @Override
                public void completed() {
                    mHeard.add("end");
                }

                @Override
                public void failed(final EndpointFailure failure) {
                    mHeard.add(failure.name());
                }
            };

    private static final class PlainProtocol implements EndpointProtocol {
        @Override
        public HttpRequest encode(
                final CallerRequest request, final AttemptContext order, final int bodyBytes) {
            throw new AssertionError("not used");
        }

        @Override
        public EndpointResponse decode(final HttpResponse response) {
            return new EndpointResponse(
                    response.status(),
                    response.headers(),
                    Optional.empty(),
                    false,
                    false,
                    true,
                    Optional.empty(),
                    !HttpUtil.isKeepAlive(response));
        }
    }

    @BeforeEach
    void connect() {
        final PlainProtocol protocol = new PlainProtocol();
        final EndpointConnections connections =
                new EndpointConnections(null, InstantSource.system(), protocol);
        mConnection = new EndpointConnection(protocol, connections.new Pool());
        mChannel =
                new EmbeddedChannel(
                        new HttpClientCodec(new HttpDecoderConfig(), false, false), mConnection);
        mConnection.setChannel(mChannel);
        mConnection.send(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a"),
                Unpooled.EMPTY_BUFFER,
                mListener);
    }

    private void answer(final String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Test
    void wholeAnswerIsHeardAndTheConnectionKept() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        mChannel.runPendingTasks();
        assertThat(mHeard).containsExactly("head 200", "body ok", "end");
        assertThat(mConnection.isUsable()).isTrue();
    }

    // A caller gets the answer to a request of somebody else. A server had sent a second answer
    // right
    // behind the first, and it was waiting on the connection when the next request used it.
    @Test
    void connectionWithBytesBehindAnAnswerIsNotUsedAgain() {
        answer(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        mChannel.runPendingTasks();
        assertThat(mHeard).containsExactly("head 200", "body ok", "end");
        assertThat(mConnection.isUsable()).isFalse();
    }

    @Test
    void answerThatComesWhileNobodyWaitsClosesTheConnection() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        mChannel.runPendingTasks();
        answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        assertThat(mConnection.isUsable()).isFalse();
    }

    // A caller takes a truncated answer for a whole one: the server closed the connection before
    // the
    // length that it had stated.
    @Test
    void answerShorterThanItsLengthIsNotWhole() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok");
        mChannel.close();
        assertThat(mHeard).containsExactly("head 200", "body ok", "CONNECTION_LOST");
    }

    @Test
    void answerWithoutLengthEndsWithItsConnection() {
        answer("HTTP/1.1 200 OK\r\n\r\nok");
        mChannel.close();
        assertThat(mHeard).containsExactly("head 200", "body ok", "end");
    }

    // The same without a length, but the connection was reset: what came may be a part only.
    @Test
    void answerWithoutLengthThatIsResetIsNotWhole() {
        answer("HTTP/1.1 200 OK\r\n\r\nok");
        mChannel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
        mChannel.close();
        assertThat(mHeard).containsExactly("head 200", "body ok", "CONNECTION_LOST");
    }

    @Test
    void bytesThatAreNoAnswerFailTheRequest() {
        answer("\u0001\u0002\u0003 nonsense\r\n\r\n");
        assertThat(mHeard).containsExactly("NOT_HTTP");
        assertThat(mConnection.isUsable()).isFalse();
    }

    @Test
    void connectionThatItsEndpointClosesIsNotKept() {
        answer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        mChannel.runPendingTasks();
        assertThat(mHeard).contains("end");
        assertThat(mConnection.isUsable()).isFalse();
    }
}
