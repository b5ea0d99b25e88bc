package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.admission.AdmissionDecision;
import org.whinhead.serving.admission.AdmissionRequest;
import org.whinhead.serving.admission.PlacedRequest;
import org.whinhead.serving.admission.RankCounts;
import org.whinhead.serving.admission.ServiceAdmission;
import org.whinhead.serving.admission.ServiceWork;
import org.whinhead.serving.balance.Work;
import org.whinhead.serving.endpoint.EndpointEntry;

class AdmissionGateTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final String SERVICE = "pool";
    private static final String ROUTE = "desk";

    private Instant mNow = START;
    private final ServingState mState = TestServing.state(() -> mNow);
    private final Deque<Runnable> mDue = new ArrayDeque<>();
    private final Deque<Runnable> mTimers = new ArrayDeque<>();
    private final AdmissionGate mGate =
            new AdmissionGate(mState, mDue::add, (task, delay) -> mTimers.add(task));
    private final List<String> mOutcomes = new ArrayList<>();
    private List<EndpointEntry> mEndpoints = List.of(TestServing.endpoint("e-1", false));

    private AdmissionRequest enter(final String id, final int rank) {
        final AdmissionRequest request =
                AdmissionRequest.builder(id, SERVICE, ROUTE)
                        .rank(rank)
                        .usefulUntil(START.plusSeconds(4))
                        .build();
        mGate.enter(request, Work.PLAIN, () -> mEndpoints, listener(id));
        return request;
    }

    private AdmissionGate.Listener listener(final String id) {
        return new AdmissionGate.Listener() {
            @Override
            public void admitted(final PlacedRequest placed, final Duration heldFor) {
                mOutcomes.add(id + " placed after " + heldFor.toMillis());
            }

            @Override
            public void refused(final AdmissionDecision decision, final Duration heldFor) {
                mOutcomes.add(id + " refused: " + decision.reason());
            }
        };
    }

    /** Applies a report of another daemon with requests of the two most urgent ranks. */
    private void report(final int urgent, final int usual) {
        mState.admission()
                .applyReport(
                        "d2",
                        List.of(
                                new ServiceWork(
                                        SERVICE,
                                        RankCounts.of(List.of(urgent, usual)),
                                        RankCounts.NONE)),
                        mNow);
    }

    private void runTimer() {
        mNow = mNow.plus(ServiceAdmission.CHECK_INTERVAL);
        mTimers.remove().run();
    }

    @Test
    void requestIsPlacedAtOnceWhileSlotsAreFree() {
        report(50, 40);
        enter("a", 3);
        assertThat(mOutcomes).containsExactly("a placed after 0");
        assertThat(mTimers).isEmpty();
    }

    @Test
    void waitingRequestIsExaminedUntilSlotsAreFree() {
        report(90, 40);
        enter("a", 1);
        runTimer();
        assertThat(mOutcomes).isEmpty();
        report(10, 0);
        runTimer();
        assertThat(mOutcomes).containsExactly("a placed after 40");
        assertThat(mTimers).isEmpty();
    }

    // Guards against slots that stay idle until the next timer.
    @Test
    void endOfRequestLetsWaitingOneBeExamined() {
        report(70, 24);
        final PlacedRequest one = mGate.pass(SERVICE, ROUTE, 0, mEndpoints);
        final PlacedRequest other = mGate.pass(SERVICE, ROUTE, 0, mEndpoints);
        enter("a", 1);
        assertThat(mOutcomes).isEmpty();
        one.end(true, mNow);
        other.end(true, mNow);
        mGate.requestEnded();
        mGate.requestEnded();
        assertThat(mDue).hasSize(1);
        mDue.remove().run();
        assertThat(mOutcomes).containsExactly("a placed after 0");
    }

    // Guards against requests that wait for their deadline after the last endpoint went: each is
    // refused as not run.
    @Test
    void waitingRequestsAreRefusedOnceTheLastEndpointIsGone() {
        report(90, 40);
        enter("a", 1);
        enter("b", 2);
        mEndpoints = List.of();
        runTimer();
        assertThat(mOutcomes)
                .containsExactly("a refused: no endpoint left", "b refused: no endpoint left");
    }

    // Guards against requests that wait while their daemon stops: each is decided at once.
    @Test
    void stopSignalPlacesOrRefusesWhatWaits() {
        report(90, 40);
        enter("a", 1);
        mGate.stop();
        assertThat(mOutcomes).containsExactly("a placed after 0");
        report(400, 90);
        enter("b", 1);
        assertThat(mOutcomes).contains("b refused: " + ServiceAdmission.STOPPING);
    }

    @Test
    void requestWhoseCallerLeftIsForgotten() {
        report(90, 40);
        final AdmissionRequest request = enter("a", 1);
        mGate.leave(request);
        report(0, 0);
        runTimer();
        assertThat(mOutcomes).isEmpty();
        assertThat(mTimers).isEmpty();
        assertThat(mState.admission().waiting(SERVICE)).isEmpty();
    }

    // Guards against a caller whose request is never decided: it sends an id again while the
    // request before it waits.
    @Test
    void numbersOfRequestsDiffer() {
        assertThat(mGate.nextNumber()).isNotEqualTo(mGate.nextNumber());
    }
}
