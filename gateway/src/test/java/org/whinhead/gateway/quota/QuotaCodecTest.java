package org.whinhead.gateway.quota;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.quota.ShareTable;
import org.whinhead.serving.quota.TokenRequest;
import org.whinhead.serving.quota.TokenResponse;

class QuotaCodecTest {

    private static final InetSocketAddress FIRST = new InetSocketAddress("127.0.0.1", 7600);
    private static final InetSocketAddress SECOND = new InetSocketAddress("127.0.0.2", 7600);

    @Test
    void requestsAndResponsesSurviveRoundTrip() {
        final TokenRequest request = new TokenRequest(7, "clinic", 12, 4_000, true);
        assertThat(QuotaCodec.decode(QuotaCodec.encode("i-1", request))).isEqualTo(request);
        final TokenRequest part = new TokenRequest(8, "clinic", 12, 4_000, 9_000, false);
        assertThat(QuotaCodec.decode(QuotaCodec.encode("i-1", part))).isEqualTo(part);
        for (final TokenResponse.Outcome outcome : TokenResponse.Outcome.values()) {
            final TokenResponse response = new TokenResponse(7, "clinic", 12, outcome, -350, 900);
            assertThat(QuotaCodec.decode(QuotaCodec.encode("i-1", response))).isEqualTo(response);
        }
    }

    @Test
    void shareTableSurvivesRoundTrip() throws InvalidProtocolBufferException {
        final ShareTable table =
                ShareTable.initial(List.of(FIRST, SECOND))
                        .reassign(
                                FIRST::equals,
                                List.of(SECOND),
                                Instant.parse("2026-01-01T01:31:00Z"));
        assertThat(QuotaCodec.decodeTable(QuotaCodec.encode(table))).isEqualTo(table);
    }

    @Test
    void recordWithoutSlotsIsRejected() {
        assertThatThrownBy(() -> QuotaCodec.decodeTable(new byte[0]))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
