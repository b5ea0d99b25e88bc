package org.whinhead.serving.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.whinhead.serving.endpoint.EndpointStatementFleet.Omission;

class EndpointStatementFleetTest {

    private static final double LOSS_SHARE = 0.2;
    private static final long SEED = 71;
    private static final Duration CALM = Duration.ofSeconds(2);
    private static final Duration RULE = Duration.ofSeconds(2);
    private static final Duration AIM = Duration.ofMillis(300);
    private static final Duration TURNED_AWAY = Duration.ofSeconds(6);
    private static final int SIXTH = 6;

    /** Six tenths of what the endpoints serve: 8 slots, 40 ms each. */
    private static final double REQUESTS_PER_ENDPOINT = 120;

    private static EndpointStatementFleet fleet(
            final int daemons, final int endpoints, final Omission omission) {
        return new EndpointStatementFleet(daemons, endpoints, LOSS_SHARE, omission, SEED);
    }

    private static EndpointStatementFleet fleet(final int daemons, final int endpoints) {
        return fleet(daemons, endpoints, Omission.NONE);
    }

    // Guards against requests to endpoints that have said that they leave, at any daemon, while the
    // store says nothing of it.
    @ParameterizedTest
    @CsvSource({"8, 12, 0", "8, 12, 200", "66, 42, 0", "66, 42, 100", "330, 60, 0", "330, 60, 50"})
    void endpointsThatLeaveGetNothingOnceAnyDaemonHasHeard(
            final int daemons, final int endpoints, final long apartMillis) {
        final Duration apart = Duration.ofMillis(apartMillis);
        assertThat(leave(daemons, endpoints, 0, apart).latestAfterStated()).isLessThan(AIM);
        final EndpointStatementFleet lossy = leave(daemons, endpoints, LOSS_SHARE, apart);
        // A daemon that has lost each telling hears the endpoint itself with its next request.
        assertThat(lossy.latestAfterStated()).isLessThan(RULE);
        assertThat(lossy.latestAfterHeard()).isZero();
        assertThat(lossy.refusedWhileRoom()).isZero();
    }

    private static EndpointStatementFleet leave(
            final int daemons, final int endpoints, final double lossShare, final Duration apart) {
        final double load = endpoints * REQUESTS_PER_ENDPOINT;
        return new EndpointStatementFleet(daemons, endpoints, lossShare, Omission.NONE, SEED)
                .play(load, CALM)
                .leave(endpoints / SIXTH, apart)
                .play(load, Duration.ofSeconds(6));
    }

    // Guards against a daemon that starts, stood still or was cut off and uses them later on.
    @ParameterizedTest
    @CsvSource({"8, 12", "66, 42"})
    void daemonsThatWereDisturbedLearnOfDepartures(final int daemons, final int endpoints) {
        final double load = endpoints * REQUESTS_PER_ENDPOINT;
        final EndpointStatementFleet fleet =
                fleet(daemons, endpoints)
                        .play(load, CALM)
                        .leave(endpoints / SIXTH, Duration.ZERO)
                        .play(load, Duration.ofMillis(500))
                        .restart(daemons / 4, Duration.ofSeconds(1))
                        .play(load, Duration.ofSeconds(3))
                        .freeze(daemons / 4, Duration.ofSeconds(1))
                        .play(load, Duration.ofSeconds(3));
        assertThat(fleet.latestAfterHeard()).isZero();
    }

    @Test
    void daemonsOfBothSidesOfCutHearByThemselves() {
        final double load = 12 * REQUESTS_PER_ENDPOINT;
        final EndpointStatementFleet fleet =
                fleet(8, 12)
                        .play(load, CALM)
                        .cutFrom(4)
                        .leave(2, Duration.ZERO)
                        .play(load, Duration.ofSeconds(6));
        assertThat(fleet.latestAfterStated()).isLessThan(RULE);
    }

    // Shows that the model finds daemons that keep a departure to themselves.
    @Test
    void departureThatIsNotToldIsFound() {
        final double load = 42 * 10;
        final EndpointStatementFleet fleet =
                fleet(66, 42, Omission.NEWS)
                        .play(load, CALM)
                        .leave(7, Duration.ZERO)
                        .play(load, Duration.ofSeconds(6));
        assertThat(fleet.latestAfterStated()).isGreaterThan(AIM);
    }

    // Guards against requests within a pause, refusals while another endpoint has room, and
    // endpoints that are not used any more, or are flooded, after their pauses.
    @ParameterizedTest
    @CsvSource({"8, 12", "66, 42", "330, 60"})
    void pausesAreKeptAndEndpointsUsedAfterThem(final int daemons, final int endpoints) {
        final double load = endpoints * REQUESTS_PER_ENDPOINT;
        final int paused = endpoints / SIXTH;
        final Duration lately = Duration.ofSeconds(1);
        final EndpointStatementFleet fleet =
                fleet(daemons, endpoints)
                        .play(load, CALM)
                        .turnAway(paused, TURNED_AWAY)
                        .play(load, TURNED_AWAY)
                        .play(load, Duration.ofSeconds(5));
        assertThat(fleet.withinPause()).isZero();
        assertThat(fleet.refusedWhileRoom()).isZero();
        final double usual = paused * REQUESTS_PER_ENDPOINT;
        assertThat((double) fleet.servedBy(paused, lately)).isGreaterThan(0.8 * usual);
    }

    // Shows that the model finds daemons that don't keep pauses.
    @Test
    void pauseThatIsNotKeptIsFound() {
        final double load = 12 * REQUESTS_PER_ENDPOINT;
        final EndpointStatementFleet fleet =
                fleet(8, 12, Omission.PAUSES)
                        .play(load, CALM)
                        .turnAway(2, TURNED_AWAY)
                        .play(load, TURNED_AWAY);
        assertThat(fleet.withinPause()).isPositive();
    }
}
