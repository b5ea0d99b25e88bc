package org.whinhead.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamFleetTest {

    private static final double LOSS = 0.05;
    private static final int ROUNDS = 20;
    private static final int STREAMS = 300;

    /** Of new streams all begin in this model; at least half as many must continue. */
    private static final double MIN_FOUND = 0.5;

    // Guards against streams that can't go on, or go on at another version, after the daemons that
    // began them were killed, several together, and messages were lost.
    @ParameterizedTest
    @CsvSource({
        "8, 3, 6, 0.1",
        "8, 3, 6, 0.5",
        "8, 3, 6, 0.8",
        "66, 3, 6, 0.1",
        "66, 3, 6, 0.8",
        "330, 9, 3, 0.1",
        "330, 9, 3, 0.33",
        "330, 9, 3, 0.5"
    })
    void streamsOfKilledDaemonsAreFound(
            final int daemons, final int domains, final int copies, final double killedShare) {
        final StreamFleet fleet = new StreamFleet(daemons, domains, copies, LOSS, 57);
        for (int round = 0; round < ROUNDS; round++) {
            fleet.playKills(STREAMS, killedShare);
        }
        assertThat(fleet.joined()).isZero();
        assertThat(fleet.resumed()).isGreaterThan(100);
        assertThat(fleet.foundShare()).isGreaterThanOrEqualTo(MIN_FOUND);
    }

    // Guards against streams that are forgotten with a failure domain.
    @ParameterizedTest
    @CsvSource({"8, 3, 6", "66, 3, 6", "330, 9, 3"})
    void streamsOfLostDomainAreFound(final int daemons, final int domains, final int copies) {
        final StreamFleet fleet = new StreamFleet(daemons, domains, copies, LOSS, 57);
        for (int round = 0; round < ROUNDS; round++) {
            fleet.playLossOfDomain(STREAMS);
        }
        assertThat(fleet.joined()).isZero();
        assertThat(fleet.foundShare()).isGreaterThanOrEqualTo(MIN_FOUND);
    }
}
