package org.whinhead.gateway.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.serving.quota.TokenRequest;
import org.whinhead.serving.quota.TokenResponse;

class DatagramQuotaTransportTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.2", 7600);

    private final DatagramQuotaTransport mTransport =
            new DatagramQuotaTransport(new EmbeddedChannel().eventLoop(), "self");
    private final List<Datagram> mSent = new ArrayList<>();
    private final ServingState mState = TestServing.state(() -> START);

    @BeforeEach
    void connect() {
        mTransport.connect(
                mState,
                (receiver, datagram) -> {
                    assertThat(receiver).isEqualTo(OTHER);
                    mSent.add(datagram);
                });
    }

    @Test
    void responseIsSentToClaimant() {
        final TokenRequest request = new TokenRequest(3, "clinic", 5, 100, false);
        mTransport.receive(
                Datagram.newBuilder().setTokenAsk(QuotaCodec.encode("other", request)).build(),
                OTHER);
        assertThat(mSent).hasSize(1);
        assertThat(mSent.get(0).getTokenAnswer().getClaimant()).isEqualTo("other");
        assertThat(QuotaCodec.decode(mSent.get(0).getTokenAnswer()).outcome())
                .isEqualTo(TokenResponse.Outcome.NOT_HELD);
    }

    @Test
    void requestsAndReturnsCarryClaimant() {
        final TokenRequest request = new TokenRequest(3, "clinic", 5, 100, false);
        mTransport.sendRequest(OTHER, request);
        mTransport.sendReturn(OTHER, request);
        assertThat(mSent.get(0).getTokenAsk().getClaimant()).isEqualTo("self");
        assertThat(mSent.get(1).getTokenReturn()).isEqualTo(mSent.get(0).getTokenAsk());
    }
}
