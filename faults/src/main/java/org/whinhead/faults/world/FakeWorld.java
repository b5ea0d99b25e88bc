package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Tier;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.requests.DecisionKind;
import org.whinhead.requests.RequestSettings;

/** A simulation of daemons, back ends and callers with one clock, one seed and the oracles. */
public final class FakeWorld {

    private static final int PERCENT = 100;
    private static final Duration MAX_SETTLE_TIME = Duration.ofSeconds(90);
    private static final Duration MIN_SETTLE_TIME = Duration.ofSeconds(15);
    private static final Tier TIER =
            new Tier(
                    "clerk",
                    1,
                    Duration.ofMillis(100),
                    Duration.ofMillis(40),
                    Duration.ofSeconds(20));

    private final FakeClock mClock = new FakeClock();
    private final SplittableRandom mRandom;
    private final FakeFleet mFleet = new FakeFleet(this);
    private final List<FakeDaemon> mDaemons = new ArrayList<>();
    private final Map<RequestId, FakeCaller> mCallers = new LinkedHashMap<>();
    private final RequestOracle mRequests = new RequestOracle(this);
    private final StateOracle mState = new StateOracle(this);
    private final FakeOperator mOperator = new FakeOperator(this);
    private final FakeLog mLog = new FakeLog(this);
    private int mLossPercent;

    /**
     * Creates a world.
     *
     * @param seed the seed of all random values
     * @param daemons the number of daemons
     * @param engines the number of engines
     * @param services the number of plain services
     */
    public FakeWorld(final long seed, final int daemons, final int engines, final int services) {
        mRandom = new SplittableRandom(seed);
        mFleet.start(engines, services);
        for (int count = 0; count < daemons; count++) {
            addDaemon();
        }
    }

    /** Returns the only valid token at an index of a request's answer. */
    public static String expectedToken(final RequestId request, final long index) {
        return request + "/" + index + " ";
    }

    public FakeClock clock() {
        return mClock;
    }

    public List<FakeBackend> backends() {
        return mFleet.backends();
    }

    public List<FakeDaemon> daemons() {
        return mDaemons;
    }

    public List<FakeCaller> callers() {
        return List.copyOf(mCallers.values());
    }

    public int runCount(final RequestId request) {
        return mRequests.runCount(request);
    }

    public void advance(final long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    /** Sets the chance in percent that an event is lost, and equally that it is duplicated. */
    public void setLossPercent(final int percent) {
        mLossPercent = percent;
    }

    /** Starts or ends an outage of the log, without which no claim can be made. */
    public void setLogOut(final boolean out) {
        mLog.setOut(out);
    }

    /** Adds an engine if the argument is true, otherwise a plain service. */
    public FakeBackend addBackend(final boolean engine) {
        final int domain = mRandom.nextInt(FakeFleet.domains().size());
        return engine ? mFleet.addEngine(FakeFleet.domains().get(domain)) : mFleet.addService();
    }

    /** Starts a daemon; during a log outage it copies the state of the first live peer. */
    public FakeDaemon addDaemon() {
        final FakeDaemon daemon =
                new FakeDaemon(this, new DaemonId("daemon-" + mDaemons.size()), mRandom.nextLong());
        mDaemons.stream()
                .filter(FakeDaemon::isAlive)
                .findFirst()
                .filter(peer -> mLog.isOut())
                .ifPresent(
                        peer -> daemon.state().installFromPeer(peer.state().view(), mClock.now()));
        mDaemons.add(daemon);
        mFleet.sendNotices(daemon);
        return daemon;
    }

    /** Reclaims a back end: announces its end to all daemons and kills it after the notice. */
    public void reclaim(final FakeBackend backend, final long noticeMillis) {
        mFleet.announceLeaving(backend, noticeMillis);
        mClock.schedule(noticeMillis, () -> backend.setMode(FakeBackend.Mode.DEAD));
    }

    /**
     * Submits a request for an engine.
     *
     * @param length the length of the answer in tokens
     * @param streamed whether the caller wants each token at once
     * @param idempotent whether the request may run more than once
     * @return the caller
     */
    public FakeCaller submitChat(
            final int length, final boolean streamed, final boolean idempotent) {
        final RequestSpec.Builder spec =
                spec().model(FakeFleet.model("1"))
                        .maxTokens(length)
                        .promptTokens(10)
                        .streamed(streamed);
        return submit(spec.idempotent(idempotent).build(), length);
    }

    /** Submits a call of a plain service; only an idempotent call may run more than once. */
    public FakeCaller submitCall(final boolean idempotent) {
        return submit(spec().service(FakeFleet.SERVICE).idempotent(idempotent).build(), 0);
    }

    /** Ends all faults, waits until every request has ended, and checks all invariants. */
    public void settleAndCheck() {
        mLossPercent = 0;
        mLog.heal();
        mFleet.heal();
        addBackend(true);
        addBackend(false);
        addDaemon();
        final Instant latest = mClock.now().plus(MAX_SETTLE_TIME);
        mClock.advance(MIN_SETTLE_TIME);
        while (mClock.now().isBefore(latest) && !isQuiet()) {
            mClock.advance(Duration.ofSeconds(1));
        }
        mCallers.values().forEach(mRequests::check);
        mState.checkSettled();
        mFleet.checkSettled(mState.documentInForce(FakeFleet.POOL_PATH).orElse("1"));
        for (final FakeDaemon daemon : mDaemons) {
            if (daemon.isAlive() && !daemon.unfinishedWork().isEmpty()) {
                throw new AssertionError("unfinished work: " + daemon.unfinishedWork());
            }
        }
    }

    private boolean isQuiet() {
        final Instant now = mClock.now();
        return mCallers.values().stream().noneMatch(c -> c.outcome() == FakeCaller.Outcome.OPEN)
                && mOperator.isIdle()
                && mDaemons.stream()
                        .filter(FakeDaemon::isAlive)
                        .allMatch(d -> !d.wasPausedSince(now) && d.unfinishedWork().isEmpty())
                && mState.isSettled()
                && mFleet.isSettled(mState.documentInForce(FakeFleet.POOL_PATH).orElse("1"));
    }

    /** Returns the operators that change settings. */
    public FakeOperator operator() {
        return mOperator;
    }

    /** Returns the daemon that holds the fleet lease and may act on it. */
    public Optional<FakeDaemon> leaseHolder() {
        return mDaemons.stream()
                .filter(FakeDaemon::isAlive)
                .filter(daemon -> daemon.state().elector().canAct(mClock.now()))
                .findFirst();
    }

    /** Returns the number of live daemons whose settings match all records on the log. */
    public int daemonsWithNewestSettings() {
        return mState.daemonsWithNewestSettings();
    }

    /** Returns whether a daemon made a decision of this kind about a caller's request. */
    public boolean hasDecision(final FakeCaller caller, final DecisionKind kind) {
        return mDaemons.stream()
                .flatMap(
                        daemon ->
                                daemon
                                        .coordinator()
                                        .decisionLog()
                                        .findByRequest(caller.id())
                                        .stream())
                .anyMatch(decision -> decision.kind() == kind);
    }

    StateOracle stateOracle() {
        return mState;
    }

    /** Describes a request, its caller and all decisions of the daemons about it. */
    String describe(final RequestId request) {
        return mRequests.describe(request);
    }

    RequestSettings settings() {
        return RequestSettings.builder()
                .patience(Duration.ofSeconds(3))
                .silence(10, Duration.ofMillis(400))
                .moveTime(Duration.ofMillis(400))
                .stopMargin(Duration.ofMillis(400))
                .comeBackAfter(Duration.ofMillis(200))
                .build();
    }

    SplittableRandom random() {
        return mRandom;
    }

    boolean isDrawn(final int percent) {
        return mRandom.nextInt(PERCENT) < percent;
    }

    int lossPercent() {
        return mLossPercent;
    }

    /** Returns the platform's log. */
    public FakeLog log() {
        return mLog;
    }

    /** Returns the VMs of the engines and services. */
    public FakeFleet fleet() {
        return mFleet;
    }

    FakeCaller caller(final RequestId request) {
        return mCallers.get(request);
    }

    Optional<FakeDaemon> randomAcceptingDaemon() {
        final List<FakeDaemon> open = mDaemons.stream().filter(FakeDaemon::isAccepting).toList();
        return open.isEmpty()
                ? Optional.empty()
                : Optional.of(open.get(mRandom.nextInt(open.size())));
    }

    void recordRun(final RequestId request) {
        mRequests.recordRun(request);
    }

    private RequestSpec.Builder spec() {
        return RequestSpec.builder(new RequestId("r" + mCallers.size()))
                .customer(new CustomerId("clinic"))
                .tier(TIER)
                .arrived(mClock.now())
                .deadline(mClock.now().plus(TIER.requestTimeout()));
    }

    private FakeCaller submit(final RequestSpec spec, final int length) {
        final FakeCaller caller = new FakeCaller(this, spec, length);
        mCallers.put(spec.id(), caller);
        caller.connect();
        return caller;
    }
}
