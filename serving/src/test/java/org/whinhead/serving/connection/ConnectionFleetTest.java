package org.whinhead.serving.connection;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConnectionFleetTest {

    private static final int MAX_CONNECTIONS = 510;
    private static final int STEPS = 6_000;

    // Guards against resets: all daemons get far more requests than their parts take, and the
    // endpoint must not see more connections than it accepts.
    @ParameterizedTest
    @ValueSource(ints = {8, 66, 330})
    void connectionsOfAllDaemonsNeverExceedTheLimit(final int daemons) {
        final ConnectionFleet fleet = new ConnectionFleet(daemons, 3, MAX_CONNECTIONS, 0, 0, 1);
        fleet.play(STEPS, 0.9, 400);
        assertThat(fleet.mostAtOneEndpoint()).isBetween(MAX_CONNECTIONS / 2, MAX_CONNECTIONS);
        assertThat(fleet.leastServedShare()).isPositive();
    }

    // Guards against starving a daemon in the usual load: some five requests a second at each of
    // the daemons, 0.2 s each, of which none is refused for want of a connection.
    @ParameterizedTest
    @ValueSource(ints = {8, 66, 330})
    void usualLoadNeedsNoMoreThanTheParts(final int daemons) {
        final ConnectionFleet fleet = new ConnectionFleet(daemons, 42, MAX_CONNECTIONS, 0, 0, 2);
        fleet.play(STEPS, 0.005, 200);
        assertThat(fleet.leastServedShare()).isEqualTo(1.0);
    }

    // Guards against daemons that have heard of half of the others after lost reports: the recorded
    // number of daemons is the larger one.
    @ParameterizedTest
    @ValueSource(ints = {8, 66, 330})
    void recordedNumberHoldsTheLimitIfReportsAreLost(final int daemons) {
        final ConnectionFleet fleet =
                new ConnectionFleet(daemons, 3, MAX_CONNECTIONS, daemons, 0.5, 3);
        fleet.play(STEPS, 0.9, 400);
        assertThat(fleet.mostAtOneEndpoint()).isLessThanOrEqualTo(MAX_CONNECTIONS);
    }
}
