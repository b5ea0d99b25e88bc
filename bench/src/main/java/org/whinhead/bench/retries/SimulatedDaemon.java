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

/** Connects the request coordinator, router and admission of one daemon to simulated engines. */
final class SimulatedDaemon implements RequestActions {

    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);
    private static final Duration DISPATCH_ALLOWANCE = Duration.ofMillis(600);
    private static final double CAPACITY_FACTOR = 1.5;

    private final Simulation mSimulation;
    private final Map<EndpointId, FaultyEngine> mEngines;
    private final AnswerListener mListener;
    private final AffinityRouter mRouter;
    private final DefaultRequestCoordinator mCoordinator;
    private final Map<RequestId, PendingRequest> mPending = new HashMap<>();
    private final TieredAdmission mAdmission;
    private final Setup mSetup;
    private final boolean mCapacityFollowsHealth;
    private long mDispatches;

    SimulatedDaemon(
            final RetryVariant variant,
            final Setup setup,
            final Simulation simulation,
            final Random random,
            final AnswerListener listener) {
        mSimulation = simulation;
        mEngines = setup.engines();
        mListener = listener;
        mSetup = setup;
        mCapacityFollowsHealth = variant.capacityFollowsHealth();
        mAdmission = admission();
        setCapacity(setup.endpoints());
        mRouter =
                new AffinityRouter(
                        RoutingSettings.of(Cluster.DOMAIN).withHealth(variant.healthSettings()),
                        random);
        mRouter.endpointsChanged(setup.endpoints());
        mCoordinator =
                DefaultRequestCoordinator.builder()
                        .router(mRouter)
                        .admission(mAdmission)
                        .actions(this)
                        .settings(variant.requestSettings())
                        .random(random)
                        .build();
        tick();
    }

    private static TieredAdmission admission() {
        final AdmissionSettings defaults = AdmissionSettings.DEFAULT;
        return new TieredAdmission(
                new AdmissionSettings(
                        defaults.maxWaiting(),
                        defaults.initialSlots(),
                        DISPATCH_ALLOWANCE,
                        defaults.minRetryAfter(),
                        defaults.maxRetryAfter()),
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

    void submit(final RequestSpec spec, final int answerTokens) {
        mPending.put(spec.id(), new PendingRequest(spec, answerTokens));
        mCoordinator.submit(spec, mSimulation.now());
    }

    void disconnectCaller(final RequestId request) {
        mPending.remove(request);
        mCoordinator.onCallerDisconnected(request, mSimulation.now());
    }

    @Override
    public void generate(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String deliveredText,
            final long deliveredTokens) {
        mDispatches++;
        final PendingRequest pending = mPending.get(attempt.request());
        mSimulation.schedule(
                ONE_WAY_DELAY,
                () ->
                        mEngines.get(endpoint.id())
                                .generate(
                                        attempt,
                                        pending.spec(),
                                        pending.answerTokens(),
                                        deliveredTokens,
                                        this::handle));
    }

    private void handle(final AttemptEvent event) {
        mCoordinator.onAttemptEvent(event, mSimulation.now());
    }

    /** Fails the attempt: a stream whose connection broke cannot be resumed in this simulation. */
    @Override
    public void resume(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String streamId,
            final long fromIndex) {
        final AttemptEvent failure =
                new AttemptEvent.Failed(attempt, AttemptFailure.STREAM_UNKNOWN, "gone");
        mSimulation.schedule(ONE_WAY_DELAY.multipliedBy(2), () -> handle(failure));
    }

    @Override
    public void cancel(final AttemptId attempt, final Endpoint endpoint, final String streamId) {
        mSimulation.schedule(ONE_WAY_DELAY, () -> mEngines.get(endpoint.id()).cancel(attempt));
    }

    @Override
    public void deliver(final RequestId request, final long index, final String text) {
        if (index == 0) {
            mListener.firstToken(request);
        }
    }

    @Override
    public void complete(final RequestId request, final Completion completion) {
        mPending.remove(request);
        mListener.completed(request);
    }

    @Override
    public void refuse(final RequestId request, final Refusal refusal) {
        mPending.remove(request);
        mListener.refused(request, refusal);
    }

    @Override
    public void ticket(final RequestId request, final Ticket ticket) {
        // No caller of this simulation loses its daemon.
    }

    @Override
    public void release(final AttemptId attempt) {
        // A stream without a reader has already been cut.
    }

    @Override
    public void move(
            final AttemptId attempt,
            final Endpoint from,
            final String streamId,
            final Endpoint to) {
        throw new IllegalStateException("move is not simulated: no engine leaves");
    }

    @Override
    public void call(final AttemptId attempt, final Endpoint endpoint) {
        throw new IllegalStateException("call is not simulated: there is no plain service");
    }

    @Override
    public void claim(final RequestId request) {
        throw new IllegalStateException("claim is not simulated: every request is idempotent");
    }

    @Override
    public void answer(final RequestId request, final PlainAnswer answer) {
        throw new IllegalStateException("answer is not simulated: there is no plain service");
    }

    @Override
    public void handBack(final RequestId request, final Ticket ticket, final Refusal refusal) {
        throw new IllegalStateException("handBack is not simulated: no daemon stops");
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

    /** Receives the results of the callers' requests. */
    interface AnswerListener {
        /** Called when the first token reaches the caller. */
        void firstToken(RequestId request);

        /** Called when the whole answer has reached the caller. */
        void completed(RequestId request);

        /** Called when the request is refused. */
        void refused(RequestId request, Refusal refusal);
    }

    /**
     * The parameters that all daemons of a run share.
     *
     * @param target the admission target of all requests
     * @param daemons number of daemons that share the capacity
     */
    record Setup(
            Map<EndpointId, FaultyEngine> engines,
            List<Endpoint> endpoints,
            Target target,
            int daemons) {}

    /** A request in progress and the length of its answer, in tokens. */
    private record PendingRequest(RequestSpec spec, int answerTokens) {}
}
