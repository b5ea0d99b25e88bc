package org.whinhead.serving.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.admission.AdmissionDecision.Action;

class ServiceAdmissionTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final String SERVICE = "pool";
    private static final int SLOTS = 18;

    private final ServiceAdmission mAdmission = new ServiceAdmission(new Random(1));
    private Instant mNow = NOW;

    private static AdmissionRequest request(final String id, final int rank, final long millis) {
        return AdmissionRequest.builder(id, SERVICE, "desk")
                .rank(rank)
                .customer("clinic", 1_000, "")
                .usefulUntil(NOW.plusMillis(millis))
                .build();
    }

    private void report(final Integer... runningByRank) {
        mAdmission.applyReport(
                "d2",
                List.of(
                        new ServiceWork(
                                SERVICE, RankCounts.of(List.of(runningByRank)), RankCounts.NONE)),
                mNow);
    }

    private ServiceLoad load(final int slots) {
        return mAdmission.load(SERVICE, mNow).endpoints(slots, false).build();
    }

    private AdmissionDecision decide(final AdmissionRequest request) {
        return mAdmission.decide(request, load(SLOTS), mNow);
    }

    /** Lets requests end that show 60 ms for each slot. */
    private void serveSome() {
        for (int index = 0; index < 5; index++) {
            mAdmission.place(SERVICE, "desk", 0, load(SLOTS), mNow).end(true, mNow.plusMillis(60));
        }
    }

    // Guards against needless waits and refusals: slots are free, however late it is.
    @Test
    void everyRankIsPlacedWhileSlotsAreFree() {
        serveSome();
        report(17);
        assertThat(decide(request("a", 5, 1)).action()).isEqualTo(Action.PLACE);
    }

    @Test
    void lessUrgentRequestWaitsWhileMoreUrgentOnesNeedTheSlots() {
        report(30, 10);
        final AdmissionDecision decision = decide(request("a", 1, 1_000));
        assertThat(decision.action()).isEqualTo(Action.WAIT);
        assertThat(decision.checkAt()).isEqualTo(NOW.plus(ServiceAdmission.CHECK_INTERVAL));
        assertThat(decide(request("b", 0, 1_000)).action()).isEqualTo(Action.PLACE);
    }

    // Guards against waits where all routes of a service have the same priority.
    @Test
    void requestOfTheOnlyRankDoesNotWaitBeforeTheQueuesAreFull() {
        report(0, 0, 60);
        assertThat(decide(request("a", 2, 1_000)).action()).isEqualTo(Action.PLACE);
        report(0, 0, 85);
        assertThat(decide(request("b", 2, 1_000)).action()).isEqualTo(Action.WAIT);
    }

    // Guards against an urgent request that is refused or held while less urgent work has the
    // slots, however full the endpoints are and however late it is.
    @Test
    void mostUrgentRequestIsPlacedBesideLessUrgentOnes() {
        serveSome();
        report(5, 80);
        assertThat(decide(request("a", 0, 10)).action()).isEqualTo(Action.PLACE);
    }

    @Test
    void requestWhoseAnswerCannotComeInTimeIsRefusedAtOnce() {
        serveSome();
        mNow = NOW.plusSeconds(1);
        report(80);
        final AdmissionDecision late = decide(request("a", 0, 1_100));
        assertThat(late.action()).isEqualTo(Action.REFUSE);
        assertThat(late.reason()).isEqualTo(ServiceAdmission.TOO_LATE);
        assertThat(decide(request("b", 0, 3_000)).action()).isEqualTo(Action.PLACE);
    }

    // Guards against callers that all return at once: 62 requests wait, 0.3 end in a millisecond.
    @Test
    void retryDelaysFollowTheQueueAndDiffer() {
        serveSome();
        mNow = NOW.plusSeconds(1);
        report(80);
        final Set<Duration> delays = new HashSet<>();
        for (int index = 0; index < 20; index++) {
            final Duration delay = decide(request("r" + index, 0, 1_100)).retryAfter();
            assertThat(delay.toMillis()).isBetween(200L, 420L);
            delays.add(delay);
        }
        assertThat(delays).hasSizeGreaterThan(10);
    }

    // Guards against refusals on reports that are wrong: answers still come in time.
    @Test
    void answerOfTheLastMomentShowsThatAnotherCanComeInTime() {
        serveSome();
        report(80);
        mNow = NOW.plusMillis(200);
        assertThat(decide(request("a", 0, 300)).action()).isEqualTo(Action.PLACE);
    }

    @Test
    void requestIsHeldForAtMostHalfOfItsUsefulTime() {
        report(60, 10);
        final AdmissionRequest request = request("a", 1, 400);
        while (decide(request).action() == Action.WAIT) {
            mNow = mNow.plusMillis(20);
            report(60, 10);
        }
        assertThat(Duration.between(NOW, mNow)).isEqualTo(Duration.ofMillis(200));
        assertThat(mAdmission.waiting(SERVICE)).isEmpty();
    }

    @Test
    void waitingRequestIsPlacedOnceSlotsAreFree() {
        report(30, 10);
        final AdmissionRequest request = request("a", 1, 4_000);
        assertThat(decide(request).action()).isEqualTo(Action.WAIT);
        report(3);
        mNow = mNow.plusMillis(20);
        assertThat(decide(request).action()).isEqualTo(Action.PLACE);
        assertThat(mAdmission.waiting(SERVICE)).isEmpty();
    }

    // Guards against less urgent work that is placed right after urgent work was refused.
    @Test
    void lessUrgentRequestWaitsAfterMoreUrgentOneWasRefused() {
        serveSome();
        mNow = NOW.plusSeconds(1);
        report(80);
        assertThat(decide(request("a", 0, 1_100)).action()).isEqualTo(Action.REFUSE);
        report(0, 30);
        assertThat(decide(request("b", 1, 4_000)).action()).isEqualTo(Action.WAIT);
        mNow = mNow.plusMillis(300);
        assertThat(decide(request("c", 0, 4_000)).action()).isEqualTo(Action.PLACE);
    }

    // Guards against refusals in a partition: three intervals after the last report the others
    // count as having no requests.
    @Test
    void requestsOfDaemonsThatDoNotReportDoNotCount() {
        serveSome();
        report(80, 10);
        mNow = NOW.plusMillis(700);
        assertThat(decide(request("a", 1, 760)).action()).isNotEqualTo(Action.PLACE);
        mAdmission.expire(Duration.ofMillis(600), mNow);
        assertThat(decide(request("b", 2, 760)).action()).isEqualTo(Action.PLACE);
    }

    // Guards against requests that wait until their deadline after the last endpoint went.
    @Test
    void waitingRequestIsRefusedAtOnceIfTheLastEndpointGoes() {
        report(30, 10);
        final AdmissionRequest request = request("a", 1, 4_000);
        assertThat(decide(request).action()).isEqualTo(Action.WAIT);
        final AdmissionDecision decision = mAdmission.decide(request, load(0), mNow);
        assertThat(decision.action()).isEqualTo(Action.REFUSE);
        assertThat(decision.reason()).isEqualTo(ServiceAdmission.NO_ENDPOINT);
        assertThat(mAdmission.waiting(SERVICE)).isEmpty();
    }

    // Guards against requests that wait in a daemon that has got the stop signal.
    @Test
    void nothingWaitsInDaemonThatStops() {
        report(30, 20);
        final AdmissionRequest first = request("a", 1, 4_000);
        assertThat(decide(first).action()).isEqualTo(Action.WAIT);
        mAdmission.stop();
        assertThat(decide(first).action()).isEqualTo(Action.PLACE);
        report(60, 30);
        final AdmissionDecision refused = decide(request("b", 1, 4_000));
        assertThat(refused.action()).isEqualTo(Action.REFUSE);
        assertThat(refused.reason()).isEqualTo(ServiceAdmission.STOPPING);
    }

    @Test
    void withdrawnRequestIsNotReported() {
        report(30, 10);
        final AdmissionRequest request = request("a", 1, 4_000);
        decide(request);
        assertThat(mAdmission.ownWork()).hasSize(1);
        assertThat(mAdmission.ownWork().get(0).waiting().toList()).containsExactly(0, 1);
        mAdmission.withdraw(request);
        assertThat(mAdmission.ownWork()).isEmpty();
    }

    @Test
    void requestInProgressCountsUntilItEnds() {
        final PlacedRequest placed = mAdmission.place(SERVICE, "desk", 1, load(SLOTS), mNow);
        assertThat(load(SLOTS).running().toList()).containsExactly(0, 1);
        placed.end(false, mNow);
        placed.end(false, mNow);
        assertThat(load(SLOTS).running().total()).isZero();
    }
}
