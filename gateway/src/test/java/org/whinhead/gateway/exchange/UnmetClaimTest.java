package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;
import org.slf4j.helpers.NOPLogger;
import org.slf4j.spi.DefaultLoggingEventBuilder;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;
import org.whinhead.serving.quota.KnownLevel;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteKind;
import org.whinhead.serving.route.WeightedService;

class UnmetClaimTest {

    /** Records the key-value pairs of a log line. */
    private static final class RecordingLine extends DefaultLoggingEventBuilder {
        private RecordingLine() {
            super(NOPLogger.NOP_LOGGER, Level.INFO);
        }

        private List<String> pairs() {
            return loggingEvent.getKeyValuePairs().stream()
                    .map((KeyValuePair pair) -> pair.key + "=" + pair.value)
                    .toList();
        }
    }

    // Requests were refused as over their allowance, and no line named the customer, the route, the
    // tokens or what the daemon knew of the shares, so that the cause could not be found.
    @Test
    void lineNamesCustomerRouteTokensAndShares() {
        final CustomerAccount customer =
                new CustomerAccount(
                        "clinic",
                        List.of("key"),
                        OptionalInt.empty(),
                        new TokenAllowance(1_000, 1_000, 200));
        final Route route =
                Route.builder()
                        .name("post")
                        .match("desk.example", "/posts/")
                        .kind(RouteKind.NON_IDEMPOTENT, false)
                        .times(Duration.ofSeconds(1), Duration.ofMillis(100))
                        .service(new WeightedService("pool", 1))
                        .maxAttempts(1)
                        .build();
        final RecordingLine line = new RecordingLine();
        new UnmetClaim(
                        customer,
                        route,
                        9_190,
                        List.of(
                                new KnownLevel(8, 1_200, Duration.ZERO),
                                new KnownLevel(9, -40, Duration.ofMillis(35))))
                .addTo(line);
        assertThat(line.pairs())
                .containsExactly(
                        "customer=clinic",
                        "route=" + route.name(),
                        "tokens=9190",
                        "shareLevels=[8:1200@0ms, 9:-40@35ms]");
    }
}
