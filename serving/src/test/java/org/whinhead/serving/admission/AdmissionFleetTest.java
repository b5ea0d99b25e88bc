package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Loads of the kinds that deployments saw, before plain endpoints of 6 slots and engines of 32. */
class AdmissionFleetTest {

    /** The share of the capacity that is used in calm times. */
    private static final double CALM = 0.7;

    private static final double LOSS = 0.2;

    private static AdmissionFleet plain(final int daemons, final long seed) {
        return new AdmissionFleet(daemons, 3, 6, false, LOSS, seed);
    }

    private static AdmissionFleet engines(final int daemons, final long seed) {
        return new AdmissionFleet(daemons, 6, 32, true, LOSS, seed);
    }

    /** Returns three ranks of requests of 60 ms that together need a part of 300 a second. */
    private static List<AdmissionFleet.Kind> plainKinds(final double load) {
        return kinds(load * 300, 60, 1_000);
    }

    /** Returns three ranks of requests of 1.5 s that together need a part of 128 a second. */
    private static List<AdmissionFleet.Kind> engineKinds(final double load) {
        return kinds(load * 128, 1_500, 5_000);
    }

    private static List<AdmissionFleet.Kind> kinds(
            final double perSecond, final double millis, final long useful) {
        return List.of(
                kind("urgent", 0, millis, useful, 0.3 * perSecond),
                kind("usual", 1, millis, useful, 0.4 * perSecond),
                kind("batch", 2, millis, 2 * useful, 0.3 * perSecond));
    }

    private static AdmissionFleet.Kind kind(
            final String name,
            final int rank,
            final double millis,
            final long useful,
            final double perSecond) {
        return new AdmissionFleet.Kind(
                name, rank, "clinic-" + rank, 1_000, millis, useful, perSecond);
    }

    // Calm load: nothing is refused, and next to nothing waits.
    @ParameterizedTest
    @ValueSource(ints = {8, 66, 330})
    void nothingWaitsInCalmTimes(final int daemons) {
        final AdmissionFleet fleet = plain(daemons, 1).play(5_000, plainKinds(CALM));
        for (final String kind : List.of("urgent", "usual", "batch")) {
            assertThat(fleet.outcome(kind).refused()).as(fleet.toString()).isZero();
            assertThat(fleet.outcome(kind).held())
                    .as(fleet.toString())
                    .isLessThanOrEqualTo(fleet.outcome(kind).made() / 50);
        }
    }

    // A burst of 1.7 to 3 times the calm load: the urgent kind is served as if it were alone,
    // endpoints reject far less, and no fewer answers come in time than without admission, but for
    // what late reports cost.
    @ParameterizedTest
    @CsvSource({"8, 1.7", "8, 2.3", "8, 3", "75, 1.7", "75, 2.3", "75, 3"})
    void burstDoesNotHitTheUrgentKind(final int daemons, final double times) {
        final AdmissionFleet without =
                plain(daemons, 2)
                        .withoutAdmission()
                        .play(3_000, plainKinds(CALM))
                        .play(5_000, plainKinds(CALM * times));
        final AdmissionFleet fleet =
                plain(daemons, 2)
                        .play(3_000, plainKinds(CALM))
                        .play(5_000, plainKinds(CALM * times));
        assertThat(fleet.outcome("urgent").answeredShare())
                .as(fleet.toString())
                .isGreaterThan(0.92);
        assertThat(fleet.urgentRefusedBesideOthers()).isZero();
        assertThat(fleet.rejections()).as(fleet.toString()).isLessThan(without.rejections() / 3);
        assertThat(fleet.answered())
                .as(fleet + " without: " + without)
                .isGreaterThan((int) (0.9 * without.answered()));
    }

    // One rank floods with 20 times its load: a more urgent one is not hit, and the slots are used.
    @ParameterizedTest
    @ValueSource(ints = {8, 75})
    void floodOfOneRankDoesNotHitMoreUrgentOnes(final int daemons) {
        final List<AdmissionFleet.Kind> flood =
                List.of(
                        kind("urgent", 0, 60, 1_000, 63),
                        kind("usual", 1, 60, 1_000, 84),
                        kind("batch", 2, 60, 2_000, 1_260));
        final AdmissionFleet fleet =
                plain(daemons, 3).play(3_000, plainKinds(CALM)).forget().play(5_000, flood);
        assertThat(fleet.outcome("urgent").answeredShare()).as(fleet.toString()).isGreaterThan(0.9);
        assertThat(fleet.urgentRefusedBesideOthers()).isZero();
        assertThat(fleet.answered()).as(fleet.toString()).isGreaterThan(1_200);
    }

    // The most urgent rank itself floods: its own requests are shed, and the slots are used.
    @Test
    void floodOfTheMostUrgentRankUsesAllSlots() {
        final AdmissionFleet fleet =
                plain(75, 4)
                        .play(3_000, plainKinds(CALM))
                        .forget()
                        .play(5_000, List.of(kind("urgent", 0, 60, 1_000, 900)));
        assertThat(fleet.outcome("urgent").answered()).as(fleet.toString()).isGreaterThan(1_200);
    }

    // All endpoints 2.5 times slower: the urgent kind, which alone would need half of what is left,
    // is still answered.
    @ParameterizedTest
    @ValueSource(ints = {8, 75})
    void slowEndpointsServeTheUrgentKindFirst(final int daemons) {
        final AdmissionFleet fleet =
                engines(daemons, 5)
                        .play(8_000, engineKinds(CALM))
                        .forget()
                        .slowness(2.5)
                        .play(15_000, engineKinds(CALM));
        assertThat(fleet.outcome("urgent").answered())
                .as(fleet.toString())
                .isGreaterThan(fleet.outcome("usual").answered());
        assertThat(fleet.urgentRefusedBesideOthers()).isZero();
        assertThat(fleet.outcome("urgent").refused()).as(fleet.toString()).isZero();
    }

    // Half of the endpoints go: the urgent kind is served by those that are left.
    @ParameterizedTest
    @ValueSource(ints = {8, 75})
    void lossOfHalfOfTheEndpointsDoesNotHitTheUrgentKind(final int daemons) {
        final AdmissionFleet fleet =
                engines(daemons, 6)
                        .play(8_000, engineKinds(CALM))
                        .forget()
                        .removeEndpoints(3)
                        .play(15_000, engineKinds(CALM));
        assertThat(fleet.outcome("urgent").refused()).as(fleet.toString()).isZero();
        assertThat(fleet.outcome("urgent").answeredShare())
                .as(fleet.toString())
                .isGreaterThan(0.85);
    }

    // 330 daemons before 18 slots, reports 7.3 s apart and a fifth of them lost: what daemons see
    // themselves must keep the slots in use and help the urgent kind.
    @Test
    void lateReportsLeaveNoSlotsIdle() {
        final AdmissionFleet without =
                plain(330, 7)
                        .withoutAdmission()
                        .play(3_000, plainKinds(CALM))
                        .play(5_000, plainKinds(CALM * 3));
        final AdmissionFleet fleet =
                plain(330, 7).play(3_000, plainKinds(CALM)).play(5_000, plainKinds(CALM * 3));
        assertThat(fleet.idleShareWhileWaiting()).as(fleet.toString()).isLessThan(0.1);
        assertThat(fleet.rejections()).isLessThan(without.rejections());
        assertThat(fleet.outcome("urgent").answered())
                .as(fleet + " without: " + without)
                .isGreaterThan(without.outcome("urgent").answered());
    }

    // All reports are cut: nothing that could be served is refused for what was reported before.
    @Test
    void cutReportsRefuseNothing() {
        final AdmissionFleet fleet =
                plain(8, 8)
                        .play(3_000, plainKinds(CALM * 1.7))
                        .cutReports()
                        .play(2_000, plainKinds(CALM))
                        .forget()
                        .play(5_000, plainKinds(CALM));
        assertThat(fleet.outcome("urgent").refused()).as(fleet.toString()).isZero();
        assertThat(fleet.outcome("usual").refused()).as(fleet.toString()).isZero();
        assertThat(fleet.outcome("batch").refused()).as(fleet.toString()).isZero();
    }

    // One customer sends 20 times what another one of the same rank sends, beside urgent work: both
    // are granted the same, and the other is answered at least half as often as if it were alone.
    @Test
    void customerThatFloodsDoesNotStarveAnother() {
        final List<AdmissionFleet.Kind> kinds =
                List.of(
                        kind("urgent", 0, 60, 1_000, 63),
                        new AdmissionFleet.Kind("hot", 1, "hot", 1_000, 60, 1_000, 800),
                        new AdmissionFleet.Kind("calm", 1, "calm", 1_000, 60, 1_000, 40));
        final AdmissionFleet fleet =
                plain(8, 9).play(3_000, plainKinds(CALM)).forget().play(8_000, kinds);
        assertThat(fleet.outcome("calm").answeredShare()).as(fleet.toString()).isGreaterThan(0.5);
        assertThat(fleet.outcome("urgent").answeredShare())
                .as(fleet.toString())
                .isGreaterThan(0.95);
    }

    // Requests of one kind, a tenth of them five times as large: they are answered at least half as
    // often as the rest.
    @Test
    void largeRequestsAreNotStarved() {
        final List<AdmissionFleet.Kind> kinds =
                List.of(
                        kind("urgent", 0, 60, 1_000, 63),
                        new AdmissionFleet.Kind("small", 1, "clinic", 1_000, 60, 2_000, 300),
                        new AdmissionFleet.Kind("large", 1, "clinic", 1_000, 300, 2_000, 33));
        final AdmissionFleet fleet =
                plain(8, 10).play(3_000, plainKinds(CALM)).forget().play(8_000, kinds);
        assertThat(fleet.outcome("large").answeredShare())
                .as(fleet.toString())
                .isGreaterThan(fleet.outcome("small").answeredShare() / 2);
    }
}
