package org.whinhead.gateway.endpoint;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Random;
import org.whinhead.gateway.http.ResponsePipeline;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.reach.AccessPath;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.reach.RelaySelector;

/** An open connection to an endpoint whose bytes a test writes. */
final class ConnectionFixture {

    private final EndpointConnection mConnection;
    private final EmbeddedChannel mChannel = new EmbeddedChannel();

    ConnectionFixture() {
        final PlainProtocol protocol = new PlainProtocol();
        final InetSocketAddress address =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 7600);
        final Member member = new Member("a1", "a1-first", "domain-a", address, address);
        final EndpointConnector connector =
                new EndpointConnector(
                        new EmbeddedChannel().eventLoop(),
                        InstantSource.system(),
                        InetAddress.getLoopbackAddress(),
                        new EndpointReach(),
                        new RelaySelector(new MemberTable(member), new Random(1)),
                        new ConnectionLogger(new RequestMetrics()));
        final EndpointConnections connections =
                new EndpointConnections(
                        InstantSource.system(), protocol, connector, new EndpointReach());
        mConnection =
                new EndpointConnection(
                        protocol, connections.new Pool("e-1", "api"), InstantSource.system());
        mConnection.setProgress(
                ResponsePipeline.addTo(mChannel.pipeline(), mConnection::isAwaiting));
        mChannel.pipeline().addLast(mConnection);
        mConnection.opened(AccessPath.DIRECT);
    }

    EndpointConnection connection() {
        return mConnection;
    }

    void send(final HttpMethod method, final EndpointResponseListener listener) {
        mConnection.send(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/a"),
                Unpooled.EMPTY_BUFFER,
                listener);
    }

    /** Reads bytes, some at a time, as far as the connection is open. */
    void read(final String text, final int segment) {
        for (int start = 0; start < text.length() && mChannel.isActive(); start += segment) {
            final String part = text.substring(start, Math.min(start + segment, text.length()));
            mChannel.pipeline()
                    .fireChannelRead(Unpooled.copiedBuffer(part, StandardCharsets.ISO_8859_1));
        }
    }

    /** Ends the input as a connection does whose other side closes it in order. */
    void endInput() {
        if (mChannel.isActive()) {
            mChannel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        }
    }

    /** Ends the turn of the event loop. */
    void endTurn() {
        mChannel.runPendingTasks();
    }
}
