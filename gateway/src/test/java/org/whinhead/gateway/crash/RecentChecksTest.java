package org.whinhead.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;

class RecentChecksTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointEntry ENTRY = started(NOW);
    private static final EndpointStart START = EndpointStart.of(ENTRY);
    private static final EndpointStart NEXT = EndpointStart.of(started(NOW.plusSeconds(1)));

    private final RecentChecks mChecks = new RecentChecks();

    private static EndpointEntry started(final Instant time) {
        return EndpointEntry.builder(
                        "e-1", "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .started(Optional.of(time), Duration.ZERO)
                .build();
    }

    private static CrashDetector.LostRequest request() {
        return new CrashDetector.LostRequest() {
            @Override
            public EndpointCrash.LostRun crashed() {
                throw new IllegalStateException("only remembered");
            }

            @Override
            public void checked(final boolean crashed) {
                throw new IllegalStateException("only remembered");
            }
        };
    }

    @Test
    void requestIsReturnedOnceWithinTheTime() {
        final CrashDetector.LostRequest request = request();
        mChecks.addAccepted(ENTRY, List.of(request), NOW);
        final Instant last = NOW.plus(RecentChecks.MEMORY).minusMillis(1);
        assertThat(mChecks.takeAccepted(START, last)).containsExactly(request);
        assertThat(mChecks.takeAccepted(START, last)).isEmpty();
    }

    // Guards against connections that were reset counting for a crash that came later.
    @Test
    void requestIsForgottenAfterTheTime() {
        mChecks.addAccepted(ENTRY, List.of(request()), NOW);
        assertThat(mChecks.takeAccepted(START, NOW.plus(RecentChecks.MEMORY))).isEmpty();
    }

    // Guards against a crash of the next start that counts against requests of the one before.
    @Test
    void otherStartIsAnotherEndpoint() {
        mChecks.addAccepted(ENTRY, List.of(request()), NOW);
        mChecks.markCrashed(NEXT, NOW);
        assertThat(mChecks.takeAccepted(NEXT, NOW)).isEmpty();
        assertThat(mChecks.hasCrashed(START, NOW)).isFalse();
        assertThat(mChecks.hasCrashed(NEXT, NOW)).isTrue();
        assertThat(mChecks.hasCrashed(NEXT, NOW.plus(RecentChecks.MEMORY))).isFalse();
    }

    // Guards against memory that grows with the requests whose connections are reset.
    @Test
    void oldestRequestsAreForgottenBeyondTheBound() {
        final List<CrashDetector.LostRequest> requests = new ArrayList<>();
        for (int index = 0; index < 600; index++) {
            requests.add(request());
        }
        mChecks.addAccepted(ENTRY, requests, NOW);
        assertThat(mChecks.takeAccepted(START, NOW.plus(Duration.ofMillis(1))))
                .isEqualTo(requests.subList(88, 600));
    }
}
