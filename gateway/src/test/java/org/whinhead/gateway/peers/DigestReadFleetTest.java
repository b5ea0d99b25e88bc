package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Story: endpoints come, leave, crash, start again, change their slots, and come and go within one
 * read of the store; two daemons read for all, and a fifth of their messages is lost. The store
 * refuses some daemons, and is away for a while. Daemons that skip a removal, or the change of an
 * entry, send requests to an endpoint that is gone, or more than it takes.
 */
class DigestReadFleetTest {

    private static final int CALM_MILLIS = 8_000;
    private static final int CHANGING_MILLIS = 20_000;

    /**
     * The reads of one daemon in {@link #CHANGING_MILLIS} are 13 to 20 at two changes per second,
     * those of a reader some 45. When removals and changed slots were skipped, 9 to 17 were seen.
     */
    private static final int MAX_READS_PER_DAEMON = 22;

    @ParameterizedTest
    @CsvSource({"8, 1", "8, 2", "8, 3", "8, 4", "8, 5", "66, 1", "66, 2", "330, 1"})
    void noRemovalIsLateAndDaemonsAgree(final int daemons, final long seed) {
        final DigestReadFleet fleet = new DigestReadFleet(daemons, seed);
        fleet.play(CALM_MILLIS, 0);
        final int calm = fleet.reads();
        // The listing of each daemon, and the reads of those that lost several digests in a row.
        assertThat(calm).isLessThan(2 * daemons);
        fleet.play(CHANGING_MILLIS, 2);
        final int changing = fleet.reads();
        assertThat(changing - calm).isLessThan(MAX_READS_PER_DAEMON * daemons);
        fleet.refuse(1_500, 0.3).play(6_000, 1).outage(2_600).play(8_000, 1).play(4_000, 0);
        assertThat(fleet.late()).isEmpty();
        assertThat(fleet.wrong()).isEmpty();
    }
}
