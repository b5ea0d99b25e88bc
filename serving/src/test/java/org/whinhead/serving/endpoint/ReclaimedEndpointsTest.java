package org.whinhead.serving.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Three failure domains are reclaimed within six seconds, the last one 2.4 s before the endpoints
 * that replace them are up. Callers were refused for two seconds, while the last domain still
 * served.
 */
class ReclaimedEndpointsTest {

    private static final Instant NOW = Instant.ofEpochSecond(1_000);

    private final ReclaimedEndpoints mLeaving = new ReclaimedEndpoints();

    private static EndpointEntry leaving(final Optional<Duration> leavesIn) {
        return EndpointEntry.builder(
                        "a", "pool", InetSocketAddress.createUnresolved("endpoint", 1), "domain")
                .leaving(true, leavesIn)
                .build();
    }

    @Test
    void endpointServesShortlyAfterItsNotice() {
        mLeaving.addNotice(leaving(Optional.of(Duration.ofMillis(2_400))), NOW);

        assertThat(mLeaving.lastResort("pool", NOW.plusMillis(700))).hasSize(1);
        assertThat(mLeaving.lastResort("pool", NOW.plusMillis(701))).isEmpty();
    }

    @Test
    void endpointThatIsGoneSoonIsNotUsed() {
        mLeaving.addNotice(leaving(Optional.of(Duration.ofMillis(1_000))), NOW);

        assertThat(mLeaving.lastResort("pool", NOW.plusMillis(200))).hasSize(1);
        assertThat(mLeaving.lastResort("pool", NOW.plusMillis(201))).isEmpty();
    }

    @Test
    void endpointThatDoesNotSayWhenItGoesIsNotUsed() {
        mLeaving.addNotice(leaving(Optional.empty()), NOW);

        assertThat(mLeaving.lastResort("pool", NOW)).isEmpty();
    }

    @Test
    void repeatedNoticeExtendsNothing() {
        final EndpointEntry entry = leaving(Optional.of(Duration.ofMillis(2_400)));
        mLeaving.addNotice(entry, NOW);
        mLeaving.addNotice(entry, NOW.plusMillis(600));

        assertThat(mLeaving.lastResort("pool", NOW.plusMillis(800))).isEmpty();
    }

    @Test
    void endpointThatIsGoneIsNotUsed() {
        mLeaving.addNotice(leaving(Optional.of(Duration.ofMillis(2_400))), NOW);
        mLeaving.remove("a");

        assertThat(mLeaving.lastResort("pool", NOW)).isEmpty();
    }
}
