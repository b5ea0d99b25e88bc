package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.gateway.generated.GatewayProto.TokenAskRecord;

class DatagramTrafficTest {

    private static final Datagram REPORT =
            Datagram.newBuilder().setReport(PeerReport.getDefaultInstance()).build();
    private static final Datagram TOKEN_ASK =
            Datagram.newBuilder().setTokenAsk(TokenAskRecord.getDefaultInstance()).build();

    private final DatagramTraffic mTraffic = new DatagramTraffic();

    @Test
    void countsByDirectionAndKind() {
        mTraffic.recordSent(REPORT, 300, 12);
        mTraffic.recordSent(TOKEN_ASK, 60, 1);
        mTraffic.recordReceived(REPORT, 250);
        mTraffic.recordReceived(REPORT, 260);
        assertThat(mTraffic.datagrams())
                .isEqualTo(
                        Map.of(
                                List.of("sent", "report"), 12L,
                                List.of("sent", "token_ask"), 1L,
                                List.of("received", "report"), 2L));
        assertThat(mTraffic.bytes())
                .isEqualTo(
                        Map.of(
                                List.of("sent", "report"), 3_600L,
                                List.of("sent", "token_ask"), 60L,
                                List.of("received", "report"), 510L));
    }
}
