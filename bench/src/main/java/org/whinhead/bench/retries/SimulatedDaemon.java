package org.whinhead.bench.retries;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.whinhead.admission.AdmissionSettings;
import org.whinhead.admission.Budget;
import org.whinhead.admission.CapacityShare;
import org.whinhead.admission.Target;
import org.whinhead.admission.TieredAdmission;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.bench.engine.Cluster;
import org.whinhead.bench.engine.Simulation;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;
import org.whinhead.requests.Completion;
import org.whinhead.requests.DefaultRequestCoordinator;
import org.whinhead.requests.PlainAnswer;
import org.whinhead.requests.RequestActions;
import org.whinhead.requests.Ticket;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.RoutingSettings;

/** The decisions of one daemon, joined to the modelled engines. */
final class SimulatedDaemon implements RequestActions {

    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration WAY = Duration.ofMillis(1);
    private static final Duration DISPATCH_ALLOWANCE = Duration.ofMillis(600);
    private static final double CAPACITY_FACTOR = 1.5;

    private final Simulation mSimulation;
    private final Map<EndpointId, FaultyEngine> mEngines;
    private final AnswerListener mListener;
    private final AffinityRouter mRouter;
    private final DefaultRequestCoordinator mCoordinator;
    private final Map<RequestId, Work> mWork = new HashMap<>();
    private final TieredAdmission mAdmission;
    private final Setup mSetup;
    private final boolean mCapacityFollowsHealth;
    private long mDispatches;

    SimulatedDaemon(
            final RetryIdeas ideas,
            final Setup setup,
            final Simulation simulation,
            final Random random,
            final AnswerListener listener) {
        mSimulation = simulation;
        mEngines = setup.engines();
        mListener = listener;
        mSetup = setup;
        mCapacityFollowsHealth = ideas.capacityFollowsHealth();
        mAdmission = admission();
        setCapacity(setup.endpoints());
        mRouter =
                new AffinityRouter(
                        RoutingSettings.of(Cluster.DOMAIN).withHealth(ideas.health()), random);
        mRouter.endpointsChanged(setup.endpoints());
        mCoordinator =
                DefaultRequestCoordinator.builder()
                        .router(mRouter)
                        .admission(mAdmission)
                        .actions(this)
                        .settings(ideas.requests())
                        .random(random)
                        .build();
        tick();
    }

    private static TieredAdmission admission() {
        final AdmissionSettings usual = AdmissionSettings.DEFAULT;
        return new TieredAdmission(
                new AdmissionSettings(
                        usual.maxWaiting(),
                        usual.initialSlots(),
                        DISPATCH_ALLOWANCE,
                        usual.minRetryAfter(),
                        usual.maxRetryAfter()),
                Budget.UNLIMITED);
    }

    private void setCapacity(final List<Endpoint> endpoints) {
        final int slots =
                CapacityShare.slots(endpoints, mSetup.target(), mSetup.daemons(), CAPACITY_FACTOR);
        mAdmission.capacityChanged(mSetup.target(), slots);
    }

    AffinityRouter router() {
        return mRouter;
    }

    long dispatches() {
        return mDispatches;
    }

    void arrived(final RequestSpec spec, final int answerTokens) {
        mWork.put(spec.id(), new Work(spec, answerTokens));
        mCoordinator.submit(spec, mSimulation.now());
    }

    void callerLeft(final RequestId request) {
        mWork.remove(request);
        mCoordinator.onCallerDisconnected(request, mSimulation.now());
    }

    @Override
    public void generate(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String deliveredText,
            final long deliveredTokens) {
        mDispatches++;
        final Work work = mWork.get(attempt.request());
        mSimulation.schedule(
                WAY,
                () ->
                        mEngines.get(endpoint.id())
                                .generate(
                                        attempt,
                                        work.spec(),
                                        work.answerTokens(),
                                        deliveredTokens,
                                        this::happened));
    }

    private void happened(final AttemptEvent event) {
        mCoordinator.onAttemptEvent(event, mSimulation.now());
    }

    /** A stream whose connection broke is gone in this model. */
    @Override
    public void resume(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String streamId,
            final long fromIndex) {
        final AttemptEvent gone =
                new AttemptEvent.Failed(attempt, AttemptFailure.STREAM_UNKNOWN, "gone");
        mSimulation.schedule(WAY.multipliedBy(2), () -> happened(gone));
    }

    @Override
    public void cancel(final AttemptId attempt, final Endpoint endpoint, final String streamId) {
        mSimulation.schedule(WAY, () -> mEngines.get(endpoint.id()).cancel(attempt));
    }

    @Override
    public void deliver(final RequestId request, final long index, final String text) {
        if (index == 0) {
            mListener.firstToken(request);
        }
    }

    @Override
    public void complete(final RequestId request, final Completion completion) {
        mWork.remove(request);
        mListener.completed(request);
    }

    @Override
    public void refuse(final RequestId request, final Refusal refusal) {
        mWork.remove(request);
        mListener.refused(request, refusal);
    }

    @Override
    public void ticket(final RequestId request, final Ticket ticket) {
        // No caller of this model loses its daemon.
    }

    @Override
    public void release(final AttemptId attempt) {
        // A stream that is not read any more is cut already.
    }

    @Override
    public void move(
            final AttemptId attempt,
            final Endpoint from,
            final String streamId,
            final Endpoint to) {
        throw new IllegalStateException("no engine is announced to leave");
    }

    @Override
    public void call(final AttemptId attempt, final Endpoint endpoint) {
        throw new IllegalStateException("there is no plain service");
    }

    @Override
    public void claim(final RequestId request) {
        throw new IllegalStateException("every request is idempotent");
    }

    @Override
    public void answer(final RequestId request, final PlainAnswer answer) {
        throw new IllegalStateException("there is no plain service");
    }

    @Override
    public void handBack(final RequestId request, final Ticket ticket, final Refusal refusal) {
        throw new IllegalStateException("no daemon stops");
    }

    private void tick() {
        if (mCapacityFollowsHealth) {
            setCapacity(
                    mSetup.endpoints().stream()
                            .filter(endpoint -> !mRouter.isSuspect(endpoint.id()))
                            .toList());
        }
        mCoordinator.tick(mSimulation.now());
        mSimulation.schedule(TICK, this::tick);
    }

    /** Told of answers. */
    interface AnswerListener {
        /** The first token reached the caller. */
        void firstToken(RequestId request);

        /** The whole answer reached the caller. */
        void completed(RequestId request);

        /** The caller was refused. */
        void refused(RequestId request, Refusal refusal);
    }

    /** What all daemons of a run share. */
    record Setup(
            Map<EndpointId, FaultyEngine> engines,
            List<Endpoint> endpoints,
            Target target,
            int daemons) {}

    /** One request and its answer's length. */
    private record Work(RequestSpec spec, int answerTokens) {}
}
