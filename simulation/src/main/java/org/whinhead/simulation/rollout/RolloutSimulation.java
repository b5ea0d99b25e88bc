package org.whinhead.simulation.rollout;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.rollout.RolloutAttempt;
import org.whinhead.serving.rollout.RolloutController;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutLimits;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RolloutRecord;
import org.whinhead.serving.rollout.RolloutState;
import org.whinhead.serving.rollout.RolloutStep;

/**
 * Simulates one roll-out with callers, daemons, endpoints of two versions and a lease holder.
 *
 * <p>The daemons and the holder run the production classes. Answer times vary by half, and one in a
 * hundred is five times as long. At either version one answer in fifty fails, and one in seven on
 * the first route, like on a route of the users.
 */
public final class RolloutSimulation {

    static final String SERVICE = "service";

    /** The limits of the users' deployment. */
    public static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50);

    private static final String OLD_VERSION = "v1";
    private static final String NEW_VERSION = "v2";
    private static final int ROUTE_COUNT = 3;
    private static final double MEDIAN_ANSWER_MILLIS = 43;
    private static final double ANSWER_TIME_SIGMA = 0.47;
    private static final double TAIL_SHARE = 0.01;
    private static final double TAIL_FACTOR = 5;
    private static final double SLOW_FACTOR = 4;
    private static final double[] FAILURE_SHARE_BY_ROUTE = {0.14, 0.02, 0.02};
    private static final double OLD_VERSION_FAILURE_SHARE = 0.4;
    private static final double MESSAGE_LOSS_SHARE = 0.02;
    private static final double PARTITIONED_SHARE = 1.0 / 3;
    private static final int BAD_ANSWERS_UNTIL_KNOWN = 50;
    private static final Duration LATE_EXPOSURE_DELAY = Duration.ofSeconds(5);
    private static final Duration BOOT_TIME = Duration.ofSeconds(3);
    private static final Duration DECISION_INTERVAL = Duration.ofMillis(200);
    private static final Duration TAKEOVER_REPORT_INTERVAL = Duration.ofMillis(150);
    private static final Duration HOLDER_TAKEOVER_TIME = Duration.ofSeconds(4);
    private static final Duration PARTITION_DURATION = Duration.ofSeconds(6);
    private static final Duration STORE_CALL_TIME = Duration.ofMillis(8);
    private static final Instant NEVER = Instant.EPOCH.plus(Duration.ofDays(1));
    private static final Duration RESTART_TIME = Duration.ofMillis(1_500);

    private final RolloutScenario mScenario;
    private final SplittableRandom mRandom;
    private final EventQueue mEvents = new EventQueue();
    private final List<RolloutDaemon> mDaemons = new ArrayList<>();
    private final List<EndpointEntry> mEndpoints = new ArrayList<>();
    private final RolloutOrder mOrder;
    private final Map<String, EndpointRate> mRates = new HashMap<>();
    private Optional<RolloutController> mHolder = Optional.empty();
    private Optional<RolloutRecord> mRecord = Optional.empty();
    private Instant mDecidedAt = Instant.EPOCH;
    private Instant mBadKnownAt = NEVER;
    private boolean mStoreUnreachable;
    private boolean mAllDown;
    private boolean mWritePending;
    private boolean mOldVersionStopping;
    private long mFencingToken = 1;
    private long mSequence;
    private long mRequests;
    private long mExposed;
    private long mExposedLate;
    private int mBadAnswers;

    private RolloutSimulation(final RolloutScenario scenario, final long seed) {
        mScenario = scenario;
        mRandom = new SplittableRandom(seed);
        mOrder = new RolloutOrder(SERVICE, NEW_VERSION, scenario.timeBudget(), 1);
    }

    /**
     * Runs a simulation.
     *
     * @param scenario the parameters
     * @param seed the seed of the random numbers
     * @return the result
     */
    public static RolloutOutcome run(final RolloutScenario scenario, final long seed) {
        return new RolloutSimulation(scenario, seed).run();
    }

    private RolloutOutcome run() {
        for (int number = 0; number < mScenario.daemons(); number++) {
            final RolloutDaemon daemon = new RolloutDaemon(number);
            mDaemons.add(daemon);
            schedule(300, () -> daemon.addOrder(mOrder));
            mEvents.schedule(
                    millis(mRandom.nextInt((int) mScenario.evidencePace().toMillis())),
                    () -> reportRepeatedly(daemon));
        }
        addEndpoints(OLD_VERSION);
        mEvents.schedule(BOOT_TIME, () -> addEndpoints(NEW_VERSION));
        mHolder = Optional.of(createController());
        mRecord = Optional.of(createRecord(RolloutState.RUNNING));
        mEvents.scheduleRepeating(DECISION_INTERVAL, this::decide);
        scheduleNextRequest();
        scheduleDisturbance();
        mEvents.runUntil(Instant.EPOCH.plus(mScenario.timeBudget()));
        return new RolloutOutcome(
                mRecord.map(RolloutRecord::state).orElse(RolloutState.RUNNING),
                Duration.between(Instant.EPOCH, mDecidedAt),
                mRequests,
                mExposed,
                mExposedLate);
    }

    private void addEndpoints(final String version) {
        for (int number = 0; number < mScenario.endpoints(); number++) {
            mEndpoints.add(
                    EndpointEntry.builder(
                                    version + "-" + number,
                                    SERVICE,
                                    InetSocketAddress.createUnresolved("endpoint", 1),
                                    "domain-" + number % 3)
                            .version(version)
                            .build());
        }
    }

    private RolloutController createController() {
        return new RolloutController(mOrder, LIMITS, Instant.EPOCH, mEvents.now());
    }

    private RolloutRecord createRecord(final RolloutState state) {
        return new RolloutRecord(SERVICE, NEW_VERSION, mOrder.offset(), Instant.EPOCH, state);
    }

    // Callers and endpoints

    private void scheduleNextRequest() {
        final double seconds = -Math.log(1 - mRandom.nextDouble()) / mScenario.requestsPerSecond();
        mEvents.schedule(
                Duration.ofNanos(Math.round(seconds * 1e9)),
                () -> {
                    sendRequest();
                    scheduleNextRequest();
                });
    }

    private void sendRequest() {
        if (mAllDown) {
            return;
        }
        final RolloutDaemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
        final String id = Long.toHexString(mRandom.nextLong());
        final int route = mRandom.nextInt(ROUTE_COUNT);
        final List<EndpointEntry> candidates =
                daemon.candidates(mEndpoints, "route-" + route, id, mEvents.now());
        if (candidates.isEmpty()) {
            return;
        }
        final EndpointEntry endpoint = candidates.get(mRandom.nextInt(candidates.size()));
        final boolean isNewVersion = endpoint.version().equals(NEW_VERSION);
        mRequests++;
        final double load =
                mRates.computeIfAbsent(endpoint.id(), key -> new EndpointRate())
                                .recordArrival(mEvents.now())
                        * mScenario.endpoints()
                        / mScenario.requestsPerSecond();
        if (isNewVersion) {
            mExposed++;
            mExposedLate += mEvents.now().isAfter(mBadKnownAt.plus(LATE_EXPOSURE_DELAY)) ? 1 : 0;
        }
        daemon.startAttempt("route-" + route, endpoint)
                .ifPresent(attempt -> scheduleAnswer(attempt, route, isNewVersion, load));
    }

    private void scheduleAnswer(
            final RolloutAttempt attempt,
            final int route,
            final boolean isNewVersion,
            final double load) {
        final double tail = mRandom.nextDouble() < TAIL_SHARE ? TAIL_FACTOR : 1;
        final double usualMillis =
                MEDIAN_ANSWER_MILLIS * tail * Math.exp(ANSWER_TIME_SIGMA * gaussian());
        final VersionBehavior.Fault fault = drawFault(route, isNewVersion, load);
        final Duration answerTime =
                millis(
                        Math.round(
                                fault == VersionBehavior.Fault.SLOW
                                        ? usualMillis * SLOW_FACTOR
                                        : usualMillis));
        if (isNewVersion && fault != VersionBehavior.Fault.NONE) {
            mBadAnswers++;
            if (mBadAnswers == BAD_ANSWERS_UNTIL_KNOWN) {
                mBadKnownAt = mEvents.now().plus(answerTime);
            }
        }
        final boolean fails =
                fault == VersionBehavior.Fault.FAILS
                        || mRandom.nextDouble() < FAILURE_SHARE_BY_ROUTE[route];
        mEvents.schedule(
                answerTime,
                () -> {
                    if (fails) {
                        attempt.recordFailure();
                    } else {
                        attempt.recordAnswer(answerTime);
                    }
                });
    }

    private VersionBehavior.Fault drawFault(
            final int route, final boolean isNewVersion, final double load) {
        if (!isNewVersion) {
            final boolean isFault =
                    mScenario.disturbance() == Disturbance.OLD_FAILS
                            && mRandom.nextDouble() < OLD_VERSION_FAILURE_SHARE;
            return isFault ? VersionBehavior.Fault.FAILS : VersionBehavior.Fault.NONE;
        }
        final double elapsedShare =
                (double) Duration.between(Instant.EPOCH, mEvents.now()).toMillis()
                        / mScenario.timeBudget().toMillis();
        return mScenario
                .behavior()
                .drawFault(
                        new VersionBehavior.RequestConditions(route, elapsedShare, load), mRandom);
    }

    /** Returns an approximately standard normal number: the sum of 12 uniform ones, minus 6. */
    private double gaussian() {
        double sum = -6;
        for (int draw = 0; draw < 12; draw++) {
            sum += mRandom.nextDouble();
        }
        return sum;
    }

    // Daemons and the lease holder

    private void reportRepeatedly(final RolloutDaemon daemon) {
        sendEvidence(daemon);
        final boolean isTakeover =
                mOldVersionStopping
                        && mScenario.evidencePace().compareTo(TAKEOVER_REPORT_INTERVAL) > 0;
        mEvents.schedule(
                isTakeover && mScenario.usesTakeoverPace()
                        ? TAKEOVER_REPORT_INTERVAL
                        : mScenario.evidencePace(),
                () -> reportRepeatedly(daemon));
    }

    private void sendEvidence(final RolloutDaemon daemon) {
        if (mAllDown || daemon.isPartitioned()) {
            return;
        }
        for (final RolloutEvidence evidence : daemon.collectEvidence()) {
            if (mRandom.nextDouble() >= MESSAGE_LOSS_SHARE) {
                schedule(3, () -> mHolder.ifPresent(holder -> holder.addEvidence(evidence)));
            }
        }
    }

    private void decide() {
        if (mHolder.isEmpty() || mAllDown) {
            return;
        }
        final RolloutController holder = mHolder.get();
        final int newCount =
                (int)
                        mEndpoints.stream()
                                .filter(entry -> entry.version().equals(NEW_VERSION))
                                .count();
        final RolloutController.Decision decision =
                holder.decide(
                        new RolloutController.Endpoints(mEndpoints.size() - newCount, newCount),
                        mEvents.now());
        if (decision.state().isFinal() && !isDecided()) {
            writeRecord(decision.state());
        }
        final RolloutState state = isDecided() ? mRecord.get().state() : RolloutState.RUNNING;
        mOldVersionStopping = !decision.oldStopsIn().isZero();
        mSequence++;
        sendStep(
                new RolloutStep(
                        SERVICE,
                        mOrder.offset(),
                        mFencingToken,
                        mSequence,
                        state,
                        decision.share(),
                        decision.routes(),
                        decision.oldStopsIn()));
    }

    private boolean isDecided() {
        return mRecord.filter(record -> record.state().isFinal()).isPresent();
    }

    private void writeRecord(final RolloutState state) {
        if (mStoreUnreachable || mWritePending) {
            return;
        }
        mWritePending = true;
        mEvents.schedule(
                STORE_CALL_TIME,
                () -> {
                    mWritePending = false;
                    if (!isDecided()) {
                        mRecord = Optional.of(createRecord(state));
                        mDecidedAt = mEvents.now();
                    }
                });
    }

    private void sendStep(final RolloutStep step) {
        for (final RolloutDaemon daemon : mDaemons) {
            if (!daemon.isPartitioned() && mRandom.nextDouble() >= MESSAGE_LOSS_SHARE) {
                schedule(3 + mRandom.nextInt(10), () -> daemon.applyStep(step, mEvents.now()));
            }
        }
    }

    // Injected faults

    private void scheduleDisturbance() {
        final Duration half = mScenario.timeBudget().dividedBy(2);
        switch (mScenario.disturbance()) {
            case DAEMONS_CUT -> mEvents.schedule(half, this::partitionDaemons);
            case HOLDER_KILLED -> mEvents.schedule(half, this::killHolder);
            case ALL_KILLED -> mEvents.schedule(half, this::killAll);
            case STORE_AWAY -> mEvents.schedule(half, this::makeStoreUnreachable);
            case RECLAIM -> mEvents.schedule(half, this::reclaimEndpoints);
            case NONE, OLD_FAILS -> {
                // No event to schedule.
            }
            default ->
                    throw new IllegalStateException(
                            "unknown disturbance " + mScenario.disturbance());
        }
    }

    private void partitionDaemons() {
        final int count = (int) Math.round(mDaemons.size() * PARTITIONED_SHARE);
        final List<RolloutDaemon> partitioned =
                mDaemons.subList(mDaemons.size() - count, mDaemons.size());
        partitioned.forEach(daemon -> daemon.setPartitioned(true));
        mEvents.schedule(
                PARTITION_DURATION,
                () -> partitioned.forEach(daemon -> daemon.setPartitioned(false)));
    }

    private void killHolder() {
        mHolder = Optional.empty();
        mEvents.schedule(HOLDER_TAKEOVER_TIME, this::takeOver);
    }

    private void takeOver() {
        mFencingToken++;
        mSequence = 0;
        final RolloutController next = createController();
        mRecord.filter(record -> record.state().isFinal())
                .ifPresent(record -> next.adoptFinalState(record.state()));
        mHolder = Optional.of(next);
    }

    private void killAll() {
        mAllDown = true;
        mHolder = Optional.empty();
        mEvents.schedule(
                RESTART_TIME,
                () -> {
                    mAllDown = false;
                    mDaemons.forEach(daemon -> daemon.restart(mOrder, mRecord));
                });
        mEvents.schedule(HOLDER_TAKEOVER_TIME, this::takeOver);
    }

    private void makeStoreUnreachable() {
        mStoreUnreachable = true;
        mEvents.schedule(mScenario.timeBudget().dividedBy(3), () -> mStoreUnreachable = false);
    }

    private void reclaimEndpoints() {
        mEndpoints.removeIf(
                entry -> entry.version().equals(NEW_VERSION) && entry.domain().equals("domain-0"));
    }

    private void schedule(final int millis, final Runnable action) {
        mEvents.schedule(millis(millis), action);
    }

    private static Duration millis(final long millis) {
        return Duration.ofMillis(millis);
    }
}
