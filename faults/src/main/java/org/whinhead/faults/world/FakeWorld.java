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

/** Daemons, back ends and callers under one clock and one seed, with the oracle over all. */
public final class FakeWorld {

    private static final int PERCENT = 100;
    private static final Duration SETTLE = Duration.ofSeconds(90);
    private static final Duration SETTLE_AT_LEAST = Duration.ofSeconds(15);
    private static final Tier TIER =
            new Tier(
                    "clerk",
                    1,
                    Duration.ofMillis(100),
                    Duration.ofMillis(40),
                    Duration.ofSeconds(20));

    private final FakeTime mTime = new FakeTime();
    private final SplittableRandom mRandom;
    private final FakeFleet mFleet = new FakeFleet(this);
    private final List<FakeDaemon> mDaemons = new ArrayList<>();
    private final Map<RequestId, FakeCaller> mCallers = new LinkedHashMap<>();
    private final RequestOracle mRequests = new RequestOracle(this);
    private final StateOracle mState = new StateOracle(this);
    private final FakeOperator mOperator = new FakeOperator(this);
    private final FakeLog mLog = new FakeLog(this);
    private int mLossPercent;

    /** Makes a world of so many of each. */
    public FakeWorld(final long seed, final int daemons, final int engines, final int services) {
        mRandom = new SplittableRandom(seed);
        mFleet.start(engines, services);
        for (int count = 0; count < daemons; count++) {
            addDaemon();
        }
    }

    /** Returns the one right token of a request's answer. */
    public static String token(final RequestId request, final long index) {
        return request + "/" + index + " ";
    }

    public FakeTime time() {
        return mTime;
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

    public int runs(final RequestId request) {
        return mRequests.runs(request);
    }

    public void run(final long millis) {
        mTime.run(Duration.ofMillis(millis));
    }

    /** Makes this share of events get lost, and as many come twice. */
    public void setLossPercent(final int percent) {
        mLossPercent = percent;
    }

    /** Makes claims unavailable, or available again. */
    public void setClaimsOut(final boolean out) {
        mLog.setOut(out);
    }

    /** Adds an engine, or else a plain service. */
    public FakeBackend addBackend(final boolean engine) {
        final int domain = mRandom.nextInt(FakeFleet.domains().size());
        return engine ? mFleet.addEngine(FakeFleet.domains().get(domain)) : mFleet.addService();
    }

    /** Starts a daemon. */
    public FakeDaemon addDaemon() {
        final FakeDaemon daemon =
                new FakeDaemon(this, new DaemonId("daemon-" + mDaemons.size()), mRandom.nextLong());
        mDaemons.stream()
                .filter(FakeDaemon::isAlive)
                .findFirst()
                .filter(peer -> mLog.isOut())
                .ifPresent(peer -> daemon.state().startFrom(peer.state().view(), mTime.now()));
        mDaemons.add(daemon);
        mFleet.tellNotices(daemon);
        return daemon;
    }

    /** Announces that a back end leaves; daemons hear of it one after the other. */
    public void leave(final FakeBackend backend, final long noticeMillis) {
        mFleet.announce(backend, noticeMillis);
        mTime.after(noticeMillis, () -> backend.setMode(FakeBackend.Mode.DEAD));
    }

    /** Submits a request to an engine. */
    public FakeCaller chat(final int length, final boolean streamed, final boolean idempotent) {
        final RequestSpec.Builder spec =
                spec().model(FakeFleet.model("1"))
                        .maxTokens(length)
                        .promptTokens(10)
                        .streamed(streamed);
        return submit(spec.idempotent(idempotent).build(), length);
    }

    /** Submits a call of a plain service. */
    public FakeCaller call(final boolean idempotent) {
        return submit(spec().service(FakeFleet.SERVICE).idempotent(idempotent).build(), 0);
    }

    /** Ends all faults, lets every request end, and checks the promises. */
    public void settleAndCheck() {
        mLossPercent = 0;
        mLog.heal();
        mFleet.heal();
        addBackend(true);
        addBackend(false);
        addDaemon();
        final Instant latest = mTime.now().plus(SETTLE);
        mTime.run(SETTLE_AT_LEAST);
        while (mTime.now().isBefore(latest) && !isQuiet()) {
            mTime.run(Duration.ofSeconds(1));
        }
        mCallers.values().forEach(mRequests::check);
        mState.checkSettled();
        mFleet.checkSettled(mState.inForce(FakeFleet.POOL_PATH).orElse("1"));
        for (final FakeDaemon daemon : mDaemons) {
            if (daemon.isAlive() && !daemon.leftovers().isEmpty()) {
                throw new AssertionError("left over: " + daemon.leftovers());
            }
        }
    }

    private boolean isQuiet() {
        final Instant now = mTime.now();
        return mCallers.values().stream().noneMatch(c -> c.end() == FakeCaller.End.OPEN)
                && mOperator.isIdle()
                && mDaemons.stream()
                        .filter(FakeDaemon::isAlive)
                        .allMatch(d -> !d.wasPausedSince(now) && d.leftovers().isEmpty())
                && mState.isSettled()
                && mFleet.isSettled(mState.inForce(FakeFleet.POOL_PATH).orElse("1"));
    }

    /** Returns the operators of settings. */
    public FakeOperator operator() {
        return mOperator;
    }

    /** Returns the daemon that may act for the fleet. */
    public Optional<FakeDaemon> holder() {
        return mDaemons.stream()
                .filter(FakeDaemon::isAlive)
                .filter(daemon -> daemon.state().keeper().canAct(mTime.now()))
                .findFirst();
    }

    /** Returns how many daemons have the settings of the newest record. */
    public int daemonsWithNewestSettings() {
        return mState.daemonsWithNewest();
    }

    /** Tells whether a daemon decided something about a caller's request. */
    public boolean wasDecided(final FakeCaller caller, final DecisionKind kind) {
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

    /** Tells all that the daemons decided about a request. */
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

    boolean chance(final int percent) {
        return mRandom.nextInt(PERCENT) < percent;
    }

    int lossPercent() {
        return mLossPercent;
    }

    /** Returns the platform's log. */
    public FakeLog log() {
        return mLog;
    }

    /** Returns the VMs behind the daemons. */
    public FakeFleet fleet() {
        return mFleet;
    }

    FakeCaller caller(final RequestId request) {
        return mCallers.get(request);
    }

    Optional<FakeDaemon> openDaemon() {
        final List<FakeDaemon> open = mDaemons.stream().filter(FakeDaemon::isOpen).toList();
        return open.isEmpty()
                ? Optional.empty()
                : Optional.of(open.get(mRandom.nextInt(open.size())));
    }

    void ran(final RequestId request) {
        mRequests.ran(request);
    }

    private RequestSpec.Builder spec() {
        return RequestSpec.builder(new RequestId("r" + mCallers.size()))
                .customer(new CustomerId("clinic"))
                .tier(TIER)
                .arrived(mTime.now())
                .deadline(mTime.now().plus(TIER.requestTimeout()));
    }

    private FakeCaller submit(final RequestSpec spec, final int length) {
        final FakeCaller caller = new FakeCaller(this, spec, length);
        mCallers.put(spec.id(), caller);
        caller.connect();
        return caller;
    }
}
