package org.whinhead.bench.goodput;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.whinhead.admission.Admission;
import org.whinhead.api.model.Tier;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.bench.engine.Cluster;
import org.whinhead.bench.engine.Conversations;
import org.whinhead.bench.engine.EngineSettings;
import org.whinhead.bench.engine.Sequence;
import org.whinhead.bench.engine.Simulation;
import org.whinhead.routing.RoutingStrategy;

/** Simulates one admission policy under traffic of one mean rate. */
final class GoodputRun {

    static final Cluster.Sizes SIZES = new Cluster.Sizes(6, 1);

    private static final Duration DURATION = Duration.ofSeconds(120);
    private static final Duration WARM_UP = Duration.ofSeconds(30);
    private static final Duration TICK = Duration.ofMillis(20);
    private static final double NANOS_PER_SECOND = 1e9;

    private final Simulation mSimulation = new Simulation();
    private final Map<RequestId, Integer> mOutputs = new HashMap<>();
    private final Map<String, Integer> mInTime = new HashMap<>();
    private final Map<String, Integer> mOffered = new HashMap<>();
    private final Admission mAdmission;
    private final Conversations mConversations;
    private final Random mRandom;
    private final Cluster mCluster;
    private final double mPerSecond;
    private int mFinished;

    private GoodputRun(final Admission admission, final double perSecond, final long seed) {
        mAdmission = admission;
        mPerSecond = perSecond;
        mRandom = new Random(seed);
        mConversations = new Conversations(seed, EngineSettings.DEFAULT.blockTokens());
        mCluster =
                new Cluster(SIZES, RoutingStrategy.AFFINITY, seed, mSimulation, this::onFinished);
    }

    /**
     * Runs the simulation and returns its outcome.
     *
     * @param perSecond mean arrival rate, in requests per second
     */
    static Outcome of(final Admission admission, final double perSecond, final long seed) {
        final GoodputRun run = new GoodputRun(admission, perSecond, seed);
        run.arrive();
        run.tick();
        run.mSimulation.runFor(DURATION);
        return run.outcome();
    }

    private void arrive() {
        final Instant now = mSimulation.now();
        final Conversations.Turn turn = mConversations.nextTurn(now);
        final RequestSpec spec = turn.spec();
        if (isMeasured(now)) {
            mOffered.merge(spec.tier().name(), 1, Integer::sum);
        }
        mOutputs.put(spec.id(), turn.outputTokens());
        if (mAdmission.offer(spec, now).isPresent()) {
            mOutputs.remove(spec.id());
        }
        dispatch();
        final double wait = -Math.log(1 - mRandom.nextDouble()) / mPerSecond;
        mSimulation.schedule(Duration.ofNanos((long) (wait * NANOS_PER_SECOND)), this::arrive);
    }

    private void tick() {
        dispatch();
        mSimulation.schedule(TICK, this::tick);
    }

    private void dispatch() {
        final Instant now = mSimulation.now();
        mAdmission.takeShed(now).forEach(shed -> mOutputs.remove(shed.spec().id()));
        for (final RequestSpec spec : mAdmission.takeAdmitted(now)) {
            mCluster.send(new Sequence(spec, mOutputs.remove(spec.id())), 0);
        }
    }

    private void onFinished(final Sequence sequence) {
        final Instant now = mSimulation.now();
        final RequestSpec spec = sequence.spec();
        mAdmission.requestEnded(spec.id(), sequence.generatedTokens(), now);
        if (!isMeasured(now)) {
            return;
        }
        mFinished++;
        final Instant due = spec.arrived().plus(spec.tier().firstTokenTarget());
        if (!sequence.firstTokenAt().isAfter(due) && !now.isAfter(spec.deadline())) {
            mInTime.merge(spec.tier().name(), 1, Integer::sum);
        }
    }

    private static boolean isMeasured(final Instant now) {
        return !now.isBefore(Simulation.START.plus(WARM_UP));
    }

    private Outcome outcome() {
        return new Outcome(mFinished, Map.copyOf(mInTime), Map.copyOf(mOffered));
    }

    /**
     * Holds the request counts of a run after its warm-up.
     *
     * @param finished number of requests that ended
     * @param inTime number of requests that met the tier's first token target and their deadline,
     *     by tier name
     * @param offered number of requests that arrived, by tier name
     */
    record Outcome(int finished, Map<String, Integer> inTime, Map<String, Integer> offered) {

        private static final double SECONDS = DURATION.minus(WARM_UP).toSeconds();

        double finishedPerSecond() {
            return finished / SECONDS;
        }

        double inTimePerSecond(final Tier tier) {
            return inTime.getOrDefault(tier.name(), 0) / SECONDS;
        }

        double inTimePerSecond() {
            return inTime.values().stream().mapToInt(Integer::intValue).sum() / SECONDS;
        }

        double offeredPerSecond(final Tier tier) {
            return offered.getOrDefault(tier.name(), 0) / SECONDS;
        }
    }
}
