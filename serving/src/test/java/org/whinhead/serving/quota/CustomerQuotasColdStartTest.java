package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a demand spike of one customer just after all daemons have started. */
class CustomerQuotasColdStartTest {

    private static final long RATE = 600_000;
    private static final int TRAFFIC_AT = 19_000;
    private static final int SPIKE_AT = TRAFFIC_AT + 500;
    private static final double SPIKE_FACTOR = 6;
    private static final int SEED = 1;
    private static final Duration START_TIME = Duration.ofMillis(500);

    // A customer got 6,276,038 tokens in eight seconds at 95 daemons, 25,032 more than accepted,
    // and the engines were full for other customers. All daemons had just started, and half a
    // second after the first request the customer's demand rose to six times its usual. Each
    // daemon spent the allowance less the reported spending of the others, which late or lost
    // messages, a restart or a partition hide: with such daemons each of these cases admitted 1.01
    // to 1.91 of the accepted tokens.
    // Columns: message delay in ms, fraction lost, end of a total loss, restart of a third and
    // partition of a third; times in ms from the first request, 0 for never.
    @ParameterizedTest
    @CsvSource({
        "6, 1, 0, 0, 0, 0",
        "6, 1, 0, 2000, 0, 0",
        "6, 1, 0, 0, 0, 1000",
        "61, 1, 0, 2000, 0, 0",
        "95, 1, 0, 0, 0, 0",
        "95, 30, 0, 0, 0, 0",
        "95, 1, 0.5, 0, 0, 0",
        "95, 1, 0, 1000, 0, 0",
        "95, 1, 0, 4000, 0, 0",
        "95, 1, 0, 0, 2000, 0",
        "95, 1, 0, 0, 5000, 0",
        "95, 1, 0, 0, 0, 1000",
        "330, 1, 0, 0, 0, 0",
        "330, 30, 0.5, 1000, 2000, 3000",
    })
    void windowAfterStartIsBounded(
            final int daemons,
            final int delayMillis,
            final double lost,
            final int silentMillis,
            final int restartMillis,
            final int cutMillis) {
        final QuotaScenario scenario =
                new QuotaScenario(daemons, RATE, SEED)
                        .demand(millis -> millis < SPIKE_AT ? 1 : SPIKE_FACTOR);
        final SimulatedFleet fleet = scenario.fleet();
        fleet.setDelay(delayMillis);
        fleet.setLossRate(lost);
        if (silentMillis > 0) {
            fleet.setAllMessagesLost(true);
            fleet.at(TRAFFIC_AT + silentMillis, () -> fleet.setAllMessagesLost(false));
        }
        if (restartMillis > 0) {
            fleet.at(TRAFFIC_AT + restartMillis, () -> restartThird(fleet));
        }
        if (cutMillis > 0) {
            fleet.at(TRAFFIC_AT + cutMillis, () -> fleet.setPartitioned(true));
        }
        scenario.run(TRAFFIC_AT, TRAFFIC_AT + 20_000);
        assertThat(scenario.worstWindowFraction()).isLessThanOrEqualTo(1.0);
    }

    private static void restartThird(final SimulatedFleet fleet) {
        for (int index = 0; index < fleet.size(); index += 3) {
            fleet.restart(index, START_TIME);
        }
    }
}
