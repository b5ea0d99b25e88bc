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
 * Plays one roll-out: callers, daemons, endpoints of two versions, and a holder that decides.
 *
 * <p>The daemons and the holder run the objects of the product. Answers take a time that varies by
 * half, one in a hundred five times as long; one in fifty fails at either version, and on the first
 * route one in seven, as a route of the users does.
 */
public final class RolloutSimulation {

    static final String SERVICE = "service";

    /** The limits of the users' deployment. */
    public static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50);

    private static final String OLD = "v1";
    private static final String NEW = "v2";
    private static final int ROUTES = 3;
    private static final double USUAL_MILLIS = 43;
    private static final double SPREAD = 0.47;
    private static final double TAIL_PART = 0.01;
    private static final double TAIL_FACTOR = 5;
    private static final double SLOW_FACTOR = 4;
    private static final double[] FAILING_PARTS = {0.14, 0.02, 0.02};
    private static final double OLD_FAILS_PART = 0.4;
    private static final double LOST_PART = 0.02;
    private static final double CUT_PART = 1.0 / 3;
    private static final int BAD_ANSWERS = 50;
    private static final Duration BAD_KNOWN_AFTER = Duration.ofSeconds(5);
    private static final Duration BOOT = Duration.ofSeconds(3);
    private static final Duration PACE = Duration.ofMillis(200);
    private static final Duration TAKEOVER_PACE = Duration.ofMillis(150);
    private static final Duration TAKEOVER = Duration.ofSeconds(4);
    private static final Duration CUT_FOR = Duration.ofSeconds(6);
    private static final Duration STORE_CALL = Duration.ofMillis(8);
    private static final Instant NEVER = Instant.EPOCH.plus(Duration.ofDays(1));
    private static final Duration DOWN_FOR = Duration.ofMillis(1_500);

    private final RolloutCase mCase;
    private final SplittableRandom mRandom;
    private final EventQueue mEvents = new EventQueue();
    private final List<RolloutDaemon> mDaemons = new ArrayList<>();
    private final List<EndpointEntry> mEndpoints = new ArrayList<>();
    private final RolloutOrder mOrder;
    private final Map<String, EndpointRate> mRates = new HashMap<>();
    private Optional<RolloutController> mHolder = Optional.empty();
    private Optional<RolloutRecord> mRecord = Optional.empty();
    private Instant mEndedAt = Instant.EPOCH;
    private Instant mBadKnownAt = NEVER;
    private boolean mStoreAway;
    private boolean mDown;
    private boolean mWriting;
    private boolean mTakesOver;
    private long mToken = 1;
    private long mSequence;
    private long mRequests;
    private long mExposed;
    private long mExposedLate;
    private int mBad;

    private RolloutSimulation(final RolloutCase played, final long seed) {
        mCase = played;
        mRandom = new SplittableRandom(seed);
        mOrder = new RolloutOrder(SERVICE, NEW, played.timeBudget(), 1);
    }

    /**
     * Plays a case.
     *
     * @param played the case
     * @param seed tells plays apart
     * @return how it went
     */
    public static RolloutOutcome play(final RolloutCase played, final long seed) {
        return new RolloutSimulation(played, seed).play();
    }

    private RolloutOutcome play() {
        for (int number = 0; number < mCase.daemons(); number++) {
            final RolloutDaemon daemon = new RolloutDaemon(number);
            mDaemons.add(daemon);
            later(300, () -> daemon.ordered(mOrder));
            mEvents.after(
                    millis(mRandom.nextInt((int) mCase.evidencePace().toMillis())),
                    () -> reportOn(daemon));
        }
        add(OLD);
        mEvents.after(BOOT, () -> add(NEW));
        mHolder = Optional.of(controller());
        mRecord = Optional.of(record(RolloutState.RUNNING));
        mEvents.each(PACE, this::hold);
        nextRequest();
        disturb();
        mEvents.runUntil(Instant.EPOCH.plus(mCase.timeBudget()));
        return new RolloutOutcome(
                mRecord.map(RolloutRecord::state).orElse(RolloutState.RUNNING),
                Duration.between(Instant.EPOCH, mEndedAt),
                mRequests,
                mExposed,
                mExposedLate);
    }

    private void add(final String version) {
        for (int number = 0; number < mCase.endpoints(); number++) {
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

    private RolloutController controller() {
        return new RolloutController(mOrder, LIMITS, Instant.EPOCH, mEvents.now());
    }

    private RolloutRecord record(final RolloutState state) {
        return new RolloutRecord(SERVICE, NEW, mOrder.offset(), Instant.EPOCH, state);
    }

    // Callers and endpoints.

    private void nextRequest() {
        final double seconds = -Math.log(1 - mRandom.nextDouble()) / mCase.requestsPerSecond();
        mEvents.after(
                Duration.ofNanos(Math.round(seconds * 1e9)),
                () -> {
                    request();
                    nextRequest();
                });
    }

    private void request() {
        if (mDown) {
            return;
        }
        final RolloutDaemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
        final String id = Long.toHexString(mRandom.nextLong());
        final int route = mRandom.nextInt(ROUTES);
        final List<EndpointEntry> candidates =
                daemon.candidates(mEndpoints, "route-" + route, id, mEvents.now());
        if (candidates.isEmpty()) {
            return;
        }
        final EndpointEntry endpoint = candidates.get(mRandom.nextInt(candidates.size()));
        final boolean onTrial = endpoint.version().equals(NEW);
        mRequests++;
        final double load =
                mRates.computeIfAbsent(endpoint.id(), key -> new EndpointRate())
                                .arrived(mEvents.now())
                        * mCase.endpoints()
                        / mCase.requestsPerSecond();
        if (onTrial) {
            mExposed++;
            mExposedLate += mEvents.now().isAfter(mBadKnownAt.plus(BAD_KNOWN_AFTER)) ? 1 : 0;
        }
        daemon.sent("route-" + route, endpoint)
                .ifPresent(trial -> run(trial, route, onTrial, load));
    }

    private void run(
            final RolloutAttempt trial, final int route, final boolean onTrial, final double load) {
        final double tail = mRandom.nextDouble() < TAIL_PART ? TAIL_FACTOR : 1;
        final double usual = USUAL_MILLIS * tail * Math.exp(SPREAD * gaussian());
        final VersionConduct.Fault fault = fault(route, onTrial, load);
        final Duration taken =
                millis(
                        Math.round(
                                fault == VersionConduct.Fault.SLOW ? usual * SLOW_FACTOR : usual));
        if (onTrial && fault != VersionConduct.Fault.NONE) {
            mBad++;
            if (mBad == BAD_ANSWERS) {
                mBadKnownAt = mEvents.now().plus(taken);
            }
        }
        final boolean fails =
                fault == VersionConduct.Fault.FAILS || mRandom.nextDouble() < FAILING_PARTS[route];
        mEvents.after(
                taken,
                () -> {
                    if (fails) {
                        trial.recordFailure();
                    } else {
                        trial.recordAnswer(taken);
                    }
                });
    }

    private VersionConduct.Fault fault(final int route, final boolean onTrial, final double load) {
        if (!onTrial) {
            final boolean hit =
                    mCase.disturbance() == Disturbance.OLD_FAILS
                            && mRandom.nextDouble() < OLD_FAILS_PART;
            return hit ? VersionConduct.Fault.FAILS : VersionConduct.Fault.NONE;
        }
        final double over =
                (double) Duration.between(Instant.EPOCH, mEvents.now()).toMillis()
                        / mCase.timeBudget().toMillis();
        return mCase.conduct().draw(new VersionConduct.Answer(route, over, load), mRandom);
    }

    private double gaussian() {
        double sum = -6;
        for (int draw = 0; draw < 12; draw++) {
            sum += mRandom.nextDouble();
        }
        return sum;
    }

    // Daemons and the holder.

    private void reportOn(final RolloutDaemon daemon) {
        report(daemon);
        final boolean soon = mTakesOver && mCase.evidencePace().compareTo(TAKEOVER_PACE) > 0;
        mEvents.after(
                soon && mCase.reportsSooner() ? TAKEOVER_PACE : mCase.evidencePace(),
                () -> reportOn(daemon));
    }

    private void report(final RolloutDaemon daemon) {
        if (mDown || daemon.isCut()) {
            return;
        }
        for (final RolloutEvidence evidence : daemon.evidence()) {
            if (mRandom.nextDouble() >= LOST_PART) {
                later(3, () -> mHolder.ifPresent(holder -> holder.addEvidence(evidence)));
            }
        }
    }

    private void hold() {
        if (mHolder.isEmpty() || mDown) {
            return;
        }
        final RolloutController holder = mHolder.get();
        final int trial =
                (int) mEndpoints.stream().filter(entry -> entry.version().equals(NEW)).count();
        final RolloutController.Decision decision =
                holder.decide(
                        new RolloutController.Endpoints(mEndpoints.size() - trial, trial),
                        mEvents.now());
        if (decision.state().isFinal() && !isEnded()) {
            write(decision.state());
        }
        final RolloutState told = isEnded() ? mRecord.get().state() : RolloutState.RUNNING;
        mTakesOver = !decision.oldStopsIn().isZero();
        mSequence++;
        tell(
                new RolloutStep(
                        SERVICE,
                        mOrder.offset(),
                        mToken,
                        mSequence,
                        told,
                        decision.share(),
                        decision.routes(),
                        decision.oldStopsIn()));
    }

    private boolean isEnded() {
        return mRecord.filter(record -> record.state().isFinal()).isPresent();
    }

    private void write(final RolloutState state) {
        if (mStoreAway || mWriting) {
            return;
        }
        mWriting = true;
        mEvents.after(
                STORE_CALL,
                () -> {
                    mWriting = false;
                    if (!isEnded()) {
                        mRecord = Optional.of(record(state));
                        mEndedAt = mEvents.now();
                    }
                });
    }

    private void tell(final RolloutStep step) {
        for (final RolloutDaemon daemon : mDaemons) {
            if (!daemon.isCut() && mRandom.nextDouble() >= LOST_PART) {
                later(3 + mRandom.nextInt(10), () -> daemon.step(step, mEvents.now()));
            }
        }
    }

    // What goes wrong.

    private void disturb() {
        final Duration half = mCase.timeBudget().dividedBy(2);
        switch (mCase.disturbance()) {
            case DAEMONS_CUT -> mEvents.after(half, this::cutDaemons);
            case HOLDER_KILLED -> mEvents.after(half, this::killHolder);
            case ALL_KILLED -> mEvents.after(half, this::killAll);
            case STORE_AWAY -> mEvents.after(half, this::takeStoreAway);
            case RECLAIM -> mEvents.after(half, this::reclaim);
            case NONE, OLD_FAILS -> {
                // Nothing happens at one moment.
            }
            default -> throw new IllegalStateException("unknown " + mCase.disturbance());
        }
    }

    private void cutDaemons() {
        final int count = (int) Math.round(mDaemons.size() * CUT_PART);
        final List<RolloutDaemon> cut = mDaemons.subList(mDaemons.size() - count, mDaemons.size());
        cut.forEach(daemon -> daemon.cut(true));
        mEvents.after(CUT_FOR, () -> cut.forEach(daemon -> daemon.cut(false)));
    }

    private void killHolder() {
        mHolder = Optional.empty();
        mEvents.after(TAKEOVER, this::takeOver);
    }

    private void takeOver() {
        mToken++;
        mSequence = 0;
        final RolloutController next = controller();
        mRecord.filter(record -> record.state().isFinal())
                .ifPresent(record -> next.adoptFinalState(record.state()));
        mHolder = Optional.of(next);
    }

    private void killAll() {
        mDown = true;
        mHolder = Optional.empty();
        mEvents.after(
                DOWN_FOR,
                () -> {
                    mDown = false;
                    mDaemons.forEach(daemon -> daemon.restart(mOrder, mRecord));
                });
        mEvents.after(TAKEOVER, this::takeOver);
    }

    private void takeStoreAway() {
        mStoreAway = true;
        mEvents.after(mCase.timeBudget().dividedBy(3), () -> mStoreAway = false);
    }

    private void reclaim() {
        mEndpoints.removeIf(
                entry -> entry.version().equals(NEW) && entry.domain().equals("domain-0"));
    }

    private void later(final int millis, final Runnable action) {
        mEvents.after(millis(millis), action);
    }

    private static Duration millis(final long millis) {
        return Duration.ofMillis(millis);
    }
}
