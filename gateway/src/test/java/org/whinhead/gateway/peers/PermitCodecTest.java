package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.whinhead.serving.ratelimit.LimitStatement;
import org.whinhead.serving.ratelimit.PermitOutcome;
import org.whinhead.serving.ratelimit.PermitRequest;
import org.whinhead.serving.ratelimit.PermitResponse;
import org.whinhead.serving.ratelimit.RequestRateLimit;

class PermitCodecTest {

    /** What fits into one packet of a network with the usual frames. */
    private static final int MAX_BYTES = 1_400;

    private static final InetSocketAddress CLAIMANT = new InetSocketAddress("127.0.0.1", 7_600);
    private static final LimitStatement STATEMENT =
            new LimitStatement(
                    "i-0123456789",
                    Optional.of(Instant.ofEpochMilli(1_767_225_600_123L)),
                    3,
                    Optional.of(new RequestRateLimit(0.25)));

    @Test
    void statementSurvivesEncoding() {
        assertThat(PermitCodec.decode(PermitCodec.encode(STATEMENT))).isEqualTo(STATEMENT);
        final LimitStatement ended =
                new LimitStatement("i-1", Optional.empty(), 4, Optional.empty());
        assertThat(PermitCodec.decode(PermitCodec.encode(ended))).isEqualTo(ended);
    }

    // Guards against an endpoint that takes nothing and is told as one without a limit.
    @Test
    void limitOfZeroIsNoMissingLimit() {
        final LimitStatement zero =
                new LimitStatement(
                        "i-1", Optional.empty(), 1, Optional.of(new RequestRateLimit(0)));
        assertThat(PermitCodec.decode(PermitCodec.encode(zero))).isEqualTo(zero);
    }

    @Test
    void requestSurvivesEncoding() {
        final PermitRequest request =
                new PermitRequest(CLAIMANT, Long.MAX_VALUE, STATEMENT, Duration.ofMillis(66), true);
        assertThat(PermitCodec.decode(PermitCodec.encode(request))).isEqualTo(request);
    }

    @ParameterizedTest
    @EnumSource
    void responseSurvivesEncoding(final PermitOutcome outcome) {
        final PermitResponse response =
                new PermitResponse(CLAIMANT, 7, outcome, Duration.ofNanos(123_000), STATEMENT);
        assertThat(PermitCodec.decode(PermitCodec.encode(response))).isEqualTo(response);
    }

    // Guards against statements that are told in a datagram that no network carries whole.
    @Test
    void datagramOfMostStatementsFitsIntoPacket() {
        assertThat(
                        PermitCodec.encodeNews(
                                        Collections.nCopies(
                                                LimitMessenger.MAX_STATEMENTS, STATEMENT))
                                .getSerializedSize())
                .isLessThanOrEqualTo(MAX_BYTES);
    }
}
