package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Whatever happens, no window sees more than is accepted. */
class CustomerQuotasBoundTest {

    private static final int FAULTS = 12;
    private static final int TRAFFIC_AT = 4_000;
    private static final int END = 34_000;

    // A customer asks up to twelve times its usual, in bursts, of all daemons or mostly of one,
    // while daemons are restarted, suspended and cut off, messages are slow or lost, and requests
    // that did not run give their tokens back. In any window it gets at most what is accepted.
    @Property(tries = 120, seed = "4711")
    void noWindowExceedsAcceptedTokens(
            @ForAll @IntRange(min = 1, max = 60) final int daemons, @ForAll final long seed) {
        final Random random = new Random(seed);
        final long rate = 18_000 + random.nextInt(400_000);
        final double factor = 1 + random.nextInt(12);
        final int rhythm = 1 + random.nextInt(5);
        final QuotaScenario day =
                new QuotaScenario(daemons, rate, seed)
                        .demand(millis -> millis / 1_000 % rhythm == 0 ? factor : 0.2)
                        .concentrate(random.nextDouble())
                        .refundFraction(random.nextDouble() / 2);
        final SimulatedFleet fleet = day.fleet();
        fleet.setLossRate(random.nextDouble() / 4);
        fleet.setDelay(1 + random.nextInt(60));
        for (int fault = 0; fault < FAULTS; fault++) {
            fleet.at(
                    TRAFFIC_AT + random.nextInt(END - TRAFFIC_AT),
                    () -> injectFault(fleet, random));
        }
        day.run(TRAFFIC_AT, END);
        assertThat(day.worstWindowFraction()).isLessThanOrEqualTo(1.0);
    }

    private static void injectFault(final SimulatedFleet fleet, final Random random) {
        final int index = random.nextInt(fleet.size());
        final Duration time = Duration.ofMillis(300 + random.nextInt(5_000));
        switch (random.nextInt(5)) {
            case 0 -> fleet.restart(index, time);
            case 1 -> fleet.suspend(index, time);
            case 2 -> fleet.setPartitioned(random.nextBoolean());
            case 3 -> fleet.setAllMessagesLost(random.nextBoolean());
            default -> {
                for (int other = 0; other < fleet.size(); other++) {
                    fleet.restart(other, Duration.ofMillis(300));
                }
            }
        }
    }
}
