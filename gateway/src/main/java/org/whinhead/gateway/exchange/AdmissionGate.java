package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.whinhead.serving.admission.AdmissionDecision;
import org.whinhead.serving.admission.AdmissionRequest;
import org.whinhead.serving.admission.PlacedRequest;
import org.whinhead.serving.admission.ServiceAdmission;
import org.whinhead.serving.admission.ServiceLoad;
import org.whinhead.serving.balance.Work;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Holds the requests of this daemon that wait for slots, and examines them in their order: several
 * times a second, and when a request of their service ends.
 */
final class AdmissionGate {

    private final ServingState mState;
    private final Executor mLoop;
    private final DelayedTasks mTimer;
    private final Map<String, HeldRequest> mHeld = new HashMap<>();
    private long mLastNumber;
    private boolean mTimerRuns;
    private boolean mExaminationDue;

    /** Runs a task on the event loop after a delay. */
    interface DelayedTasks {
        void schedule(Runnable task, Duration delay);
    }

    /** Receives the decision about one request. */
    interface Listener {

        /** Called when the request may be sent to an endpoint. */
        void admitted(PlacedRequest placed, Duration heldFor);

        /** Called when it is refused; it did not run. */
        void refused(AdmissionDecision decision, Duration heldFor);
    }

    private record HeldRequest(
            AdmissionRequest request,
            Work work,
            Supplier<List<EndpointEntry>> candidates,
            Instant since,
            Listener listener) {}

    AdmissionGate(final ServingState state, final Executor loop, final DelayedTasks timer) {
        mState = Objects.requireNonNull(state, "state");
        mLoop = Objects.requireNonNull(loop, "loop");
        mTimer = Objects.requireNonNull(timer, "timer");
    }

    private ServiceAdmission admission() {
        return mState.admission();
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /** Returns a number that no other request of this daemon has. */
    long nextNumber() {
        mLastNumber++;
        return mLastNumber;
    }

    /**
     * Decides about a request before its first attempt; the listener is called at once or later.
     *
     * @param request the request
     * @param work its work
     * @param candidates returns the endpoints that may receive it
     * @param listener receives the decision
     */
    void enter(
            final AdmissionRequest request,
            final Work work,
            final Supplier<List<EndpointEntry>> candidates,
            final Listener listener) {
        final HeldRequest entering = new HeldRequest(request, work, candidates, now(), listener);
        examine(entering, load(request.service(), work, candidates.get()));
    }

    /** Counts a request that is not decided about, for example the rest of a stream. */
    PlacedRequest pass(
            final String service,
            final String route,
            final int rank,
            final List<EndpointEntry> candidates) {
        return admission()
                .place(service, route, rank, load(service, Work.PLAIN, candidates), now());
    }

    /** Forgets a request that waits and whose caller has left. */
    void leave(final AdmissionRequest request) {
        if (mHeld.remove(request.id()) != null) {
            admission().withdraw(request);
        }
    }

    /** Examines the waiting requests, as one has ended and its slot is free. */
    void requestEnded() {
        if (!mHeld.isEmpty() && !mExaminationDue) {
            mExaminationDue = true;
            // The request that has ended is still being handled.
            mLoop.execute(
                    () -> {
                        mExaminationDue = false;
                        examineAll();
                    });
        }
    }

    /** Places or refuses all waiting requests, as this daemon is about to stop. */
    void stop() {
        admission().stop();
        examineAll();
    }

    private void examineAll() {
        mHeld.values().stream()
                .map(held -> held.request().service())
                .distinct()
                .toList()
                .forEach(this::examineService);
    }

    private void examineService(final String service) {
        List<EndpointEntry> candidates = List.of();
        for (final AdmissionRequest waiting : new ArrayList<>(admission().waiting(service))) {
            final HeldRequest held = mHeld.get(waiting.id());
            if (held != null) {
                // Those of one service have the same endpoints, except in roll-outs.
                candidates = candidates.isEmpty() ? held.candidates().get() : candidates;
                examine(held, load(service, held.work(), candidates));
            }
        }
    }

    private void examine(final HeldRequest held, final ServiceLoad load) {
        final AdmissionRequest request = held.request();
        final AdmissionDecision decision = admission().decide(request, load, now());
        if (decision.action() == AdmissionDecision.Action.WAIT) {
            mHeld.putIfAbsent(request.id(), held);
            startTimer();
            return;
        }
        mHeld.remove(request.id());
        final Duration heldFor = Duration.between(held.since(), now());
        if (decision.action() == AdmissionDecision.Action.PLACE) {
            final PlacedRequest placed =
                    admission()
                            .place(request.service(), request.route(), request.rank(), load, now());
            held.listener().admitted(placed, heldFor);
        } else {
            held.listener().refused(decision, heldFor);
        }
    }

    private ServiceLoad load(
            final String service, final Work work, final List<EndpointEntry> candidates) {
        final int slots = candidates.stream().mapToInt(EndpointEntry::slots).sum();
        final ServiceLoad.Builder builder =
                admission().load(service, now()).endpoints(slots, mState.isEngine(service));
        final ServiceLoad load = builder.build();
        if (candidates.isEmpty() || load.running().total() < slots) {
            return load;
        }
        return builder.expectedWait(mState.chooser().shortestWait(candidates, work, now())).build();
    }

    private void startTimer() {
        if (mTimerRuns) {
            return;
        }
        mTimerRuns = true;
        mTimer.schedule(
                () -> {
                    mTimerRuns = false;
                    examineAll();
                    if (!mHeld.isEmpty()) {
                        startTimer();
                    }
                },
                ServiceAdmission.CHECK_INTERVAL);
    }
}
