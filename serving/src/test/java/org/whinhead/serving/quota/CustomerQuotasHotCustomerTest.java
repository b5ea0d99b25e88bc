package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a customer that sends many times its usual load for some seconds after calm. */
class CustomerQuotasHotCustomerTest {

    private static final long RATE = 533_632;
    private static final long SEED = 100;

    /** The aim for requests that are within the allowance. */
    private static final double MOST_REFUSED = 0.005;

    private static final int KILLED_AT = HotCustomerScenario.HOT_AT + 500;

    // Guards against refusals of requests that are within the allowance by what the customer has
    // sent: shares whose capacity was a part of the burst refused 28% of them. Columns: daemons,
    // usual load as a fraction of the rate, factor of the hot customer, factor of its large
    // requests.
    @ParameterizedTest
    @CsvSource({"66, 0.5, 7.5, 1.7", "66, 0.6, 6, 1.7", "330, 0.6, 7.5, 1"})
    void requestsWithinAllowanceAreAdmitted(
            final int daemons,
            final double usualFraction,
            final double hotFactor,
            final double largeFactor) {
        final HotCustomerScenario scenario = play(daemons, usualFraction, hotFactor, largeFactor);
        assertThat(scenario.hot().withinRefusedFraction()).isLessThanOrEqualTo(MOST_REFUSED);
    }

    // Guards against the same where the customer was calmer before, or few daemons hold the shares.
    @ParameterizedTest
    @CsvSource({"8, 0.5, 6, 1", "66, 0.4, 6, 1", "330, 0.5, 6, 1"})
    void requestsWithinAllowanceAreAdmittedAfterLongCalm(
            final int daemons,
            final double usualFraction,
            final double hotFactor,
            final double largeFactor) {
        final HotCustomerScenario scenario = play(daemons, usualFraction, hotFactor, largeFactor);
        assertThat(scenario.hot().withinRefusedFraction()).isLessThanOrEqualTo(MOST_REFUSED);
    }

    // Guards against a limit that is exceeded, and against other customers that are refused.
    @ParameterizedTest
    @CsvSource({
        "8, 0.5, 6, 1",
        "66, 0.5, 7.5, 1.7",
        "66, 0.6, 6, 1.7",
        "66, 0.4, 6, 1",
        "330, 0.6, 7.5, 1",
        "330, 0.5, 6, 1",
    })
    void hotCustomerKeepsToItsLimitAndHarmsNoOther(
            final int daemons,
            final double usualFraction,
            final double hotFactor,
            final double largeFactor) {
        final HotCustomerScenario scenario = play(daemons, usualFraction, hotFactor, largeFactor);
        assertThat(scenario.calm().withinRefusedFraction()).isZero();
        assertThat(scenario.hot().worstWindowFraction()).isLessThanOrEqualTo(1.0);
    }

    private static HotCustomerScenario play(
            final int daemons,
            final double usualFraction,
            final double hotFactor,
            final double largeFactor) {
        return new HotCustomerScenario(daemons, RATE, usualFraction, hotFactor, SEED)
                .largeFactor(largeFactor)
                .run();
    }

    // The large requests of a hot customer find no share with enough tokens while its small ones
    // take each token. They must be admitted at least half as often.
    @ParameterizedTest
    @CsvSource({"8, 0.5", "66, 0.6", "330, 0.4"})
    void largeRequestsAreAdmittedLikeSmallOnes(final int daemons, final double usualFraction) {
        final HotCustomerScenario scenario =
                new HotCustomerScenario(daemons, RATE, usualFraction, 6, SEED).run();
        final double large = scenario.hot().kinds().get(0).admittedFraction();
        final double small = scenario.hot().kinds().get(2).admittedFraction();
        assertThat(large / small).isGreaterThanOrEqualTo(0.5);
    }

    // A holder is killed while a customer is hot, and a fiftieth of the messages is lost. Its other
    // holders must not issue more for it, nor refuse other customers.
    @ParameterizedTest
    @CsvSource({"8, 0.5", "66, 0.6", "330, 0.4"})
    void killedHolderKeepsLimit(final int daemons, final double usualFraction) {
        final HotCustomerScenario scenario =
                new HotCustomerScenario(daemons, RATE, usualFraction, 7.5, SEED);
        final SimulatedFleet fleet = scenario.fleet();
        fleet.setLossRate(0.02);
        final int holder = fleet.holderOf(HotCustomerScenario.HOT, 0);
        fleet.at(KILLED_AT, () -> fleet.restart(holder, Duration.ofMillis(1_000)));
        scenario.run();
        assertThat(scenario.hot().worstWindowFraction()).isLessThanOrEqualTo(1.0);
        assertThat(scenario.hot().withinRefusedFraction()).isLessThanOrEqualTo(0.15);
        assertThat(scenario.calm().withinRefusedFraction()).isLessThanOrEqualTo(0.01);
    }
}
