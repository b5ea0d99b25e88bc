package org.whinhead.serving.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class RolloutControllerTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final RolloutOrder ORDER =
            new RolloutOrder("service", "v2", Duration.ofSeconds(12), 7);
    private static final RolloutController.Endpoints BOTH = new RolloutController.Endpoints(6, 6);
    private static final int FAST = 8;
    private static final int SLOW = 14;

    private final RolloutController mController =
            new RolloutController(ORDER, new RolloutLimits(0.1, 50), START, START);
    private long mOldSent;
    private long mOldFailed;
    private long mTrialFast;
    private long mTrialSlow;
    private long mTrialFailed;

    private static List<Long> times(final long fast, final long slow) {
        final List<Long> times =
                new ArrayList<>(Collections.nCopies(LatencyHistogram.BUCKET_COUNT, 0L));
        times.set(FAST, fast);
        times.set(SLOW, slow);
        return times;
    }

    private RolloutController.Decision after(final long millis) {
        mController.addEvidence(
                new RolloutEvidence(
                        "service",
                        7,
                        "daemon",
                        List.of(
                                new RouteOutcomes(
                                        "route",
                                        false,
                                        mOldSent,
                                        mOldFailed,
                                        times(mOldSent - mOldFailed, 0)),
                                new RouteOutcomes(
                                        "route",
                                        true,
                                        mTrialFast + mTrialSlow + mTrialFailed,
                                        mTrialFailed,
                                        times(mTrialFast, mTrialSlow)))));
        return mController.decide(BOTH, START.plusMillis(millis));
    }

    private void goodUntil(final long millis) {
        for (long at = 200; at <= millis; at += 200) {
            mOldSent += 12;
            mTrialFast += 1;
            after(at);
        }
    }

    @Test
    void newVersionGetsNothingBeforeItsEndpointsAreThere() {
        final RolloutController.Decision decision =
                mController.decide(new RolloutController.Endpoints(6, 0), START.plusMillis(500));

        assertThat(decision.share()).isZero();
        assertThat(decision.state()).isEqualTo(RolloutState.RUNNING);
    }

    /** The trial lasts as long as the order allows: a version may turn bad late. */
    @Test
    void goodVersionTakesOverAtTheEndOnly() {
        goodUntil(9_000);
        assertThat(after(9_200).share()).isLessThan(1);

        goodUntil(11_400);
        final RolloutController.Decision last = after(11_500);

        assertThat(last.share()).isEqualTo(1);
        assertThat(last.oldStopsIn()).isEqualTo(Duration.ofMillis(140));
        assertThat(after(11_700).state()).isEqualTo(RolloutState.COMPLETED);
    }

    @Test
    void failuresTurnItBackAtOnce() {
        goodUntil(5_000);
        mTrialFailed += 5;

        final RolloutController.Decision decision = after(5_200);

        assertThat(decision.state()).isEqualTo(RolloutState.ROLLED_BACK);
        assertThat(decision.share()).isZero();
        assertThat(decision.reason()).isEqualTo("bad answers on route route");
    }

    @Test
    void slowAnswersTurnItBackAtOnce() {
        goodUntil(5_000);
        mTrialSlow += 5;

        assertThat(after(5_200).state()).isEqualTo(RolloutState.ROLLED_BACK);
    }

    /**
     * A good version is turned back by a fault that hits both versions alike. The trial rests while
     * the old one fails, and goes on afterwards.
     */
    @Test
    void failuresOfBothVersionsAreNotTheNewOnes() {
        goodUntil(5_000);
        mOldSent += 40;
        mOldFailed += 30;
        mTrialFailed += 5;

        final RolloutController.Decision decision = after(5_200);

        assertThat(decision.state()).isEqualTo(RolloutState.RUNNING);
        assertThat(decision.share()).isZero();
    }

    @Test
    void versionThatShowsTooLittleIsTurnedBack() {
        after(200);

        assertThat(after(11_700).state()).isEqualTo(RolloutState.ROLLED_BACK);
    }

    /** Old endpoints stop at once when a roll-out is completed, with all that still runs there. */
    @Test
    void versionThatHasNotTakenOverIsNotCompleted() {
        goodUntil(11_000);

        final RolloutController.Decision decision = after(11_700);

        assertThat(decision.state()).isEqualTo(RolloutState.ROLLED_BACK);
        assertThat(decision.reason()).isEqualTo("good, but no time left to take over");
    }

    /** Requests would be put on trial evenly, though one route needs more to show a fault. */
    @Test
    void routeThatIsNotShownYetGetsMore() {
        for (long at = 200; at <= 6_000; at += 200) {
            mController.addEvidence(
                    new RolloutEvidence(
                            "service",
                            7,
                            "daemon",
                            List.of(
                                    outcomes("often", false, 12 * at / 200, 2 * at / 200),
                                    outcomes("often", true, at / 400, at / 2_400),
                                    outcomes("seldom", false, 12 * at / 200, 0),
                                    outcomes("seldom", true, at / 400, 0))));
            mController.decide(BOTH, START.plusMillis(at));
        }

        final List<RouteShare> routes = mController.decide(BOTH, START.plusMillis(6_100)).routes();

        assertThat(RouteShare.of(routes, "often", 0))
                .as(routes.toString())
                .isGreaterThan(RouteShare.of(routes, "seldom", 1));
    }

    private static RouteOutcomes outcomes(
            final String route, final boolean onTrial, final long sent, final long failed) {
        return new RouteOutcomes(route, onTrial, sent, failed, times(sent - failed, 0));
    }

    /** Another holder's recorded end stays, whatever is seen afterwards. */
    @Test
    void recordedEndStays() {
        mController.adoptFinalState(RolloutState.ROLLED_BACK);
        goodUntil(11_400);

        assertThat(after(11_800).state()).isEqualTo(RolloutState.ROLLED_BACK);
    }

    /** Each new holder would start the trial anew, and a bad version get its part many times. */
    @Test
    void laterHolderAssumesWhatWasSpentBefore() {
        final Instant takenOverAt = START.plusSeconds(8);
        final RolloutController later =
                new RolloutController(ORDER, new RolloutLimits(0.1, 50), START, takenOverAt);

        final double first = mController.decide(BOTH, START.plusMillis(200)).share();
        final double then = later.decide(BOTH, takenOverAt.plusMillis(200)).share();

        assertThat(then).isLessThanOrEqualTo(first);
    }
}
