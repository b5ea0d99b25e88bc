package org.whinhead.faults.world;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.ModelRef;
import org.whinhead.api.model.Tier;
import org.whinhead.api.model.Vm;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.requests.RequestSettings;

/** Daemons, back ends and callers under one clock and one seed, with the oracle over all. */
public final class FakeWorld {

    private static final ModelRef MODEL = ModelRef.of("draft", "1");
    private static final String SERVICE = "filing";
    private static final int PERCENT = 100;
    private static final Duration SETTLE = Duration.ofSeconds(90);
    private static final Tier TIER =
            new Tier(
                    "clerk",
                    1,
                    Duration.ofMillis(100),
                    Duration.ofMillis(40),
                    Duration.ofSeconds(20));

    private final FakeTime mTime = new FakeTime();
    private final SplittableRandom mRandom;
    private final Map<EndpointId, FakeBackend> mBackends = new LinkedHashMap<>();
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
        for (int count = 0; count < daemons; count++) {
            addDaemon();
        }
        for (int count = 0; count < engines; count++) {
            addBackend(true);
        }
        for (int count = 0; count < services; count++) {
            addBackend(false);
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
        return List.copyOf(mBackends.values());
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
        final EndpointId id = new EndpointId((engine ? "engine-" : "service-") + mBackends.size());
        return engine
                ? add(Endpoint.engine(id).models(Set.of(MODEL)), id)
                : add(Endpoint.plainService(id, SERVICE), id);
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
        return daemon;
    }

    /** Announces that a back end leaves; daemons hear of it one after the other. */
    public void leave(final FakeBackend backend, final long noticeMillis) {
        final Instant goneBy = mTime.now().plusMillis(noticeMillis);
        for (final FakeDaemon daemon : mDaemons) {
            final int heard = mRandom.nextInt(100);
            mTime.after(heard, () -> daemon.endpointLeaving(backend.endpoint().id(), goneBy));
        }
        mTime.after(noticeMillis, () -> backend.setMode(FakeBackend.Mode.DEAD));
    }

    /** Submits a request to an engine. */
    public FakeCaller chat(final int length, final boolean streamed, final boolean idempotent) {
        final RequestSpec.Builder spec =
                spec().model(MODEL).maxTokens(length).promptTokens(10).streamed(streamed);
        return submit(spec.idempotent(idempotent).build(), length);
    }

    /** Submits a call of a plain service. */
    public FakeCaller call(final boolean idempotent) {
        return submit(spec().service(SERVICE).idempotent(idempotent).build(), 0);
    }

    /** Ends all faults, lets every request end, and checks the promises. */
    public void settleAndCheck() {
        mLossPercent = 0;
        mLog.heal();
        backends().forEach(backend -> backend.setMode(FakeBackend.Mode.UP));
        addBackend(true);
        addBackend(false);
        addDaemon();
        mTime.run(SETTLE);
        mCallers.values().forEach(mRequests::check);
        mState.checkSettled();
        for (final FakeDaemon daemon : mDaemons) {
            if (daemon.isAlive() && !daemon.leftovers().isEmpty()) {
                throw new AssertionError("left over: " + daemon.leftovers());
            }
        }
    }

    /** Returns the operators of settings. */
    public FakeOperator operator() {
        return mOperator;
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

    FakeBackend backend(final EndpointId id) {
        return mBackends.get(id);
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

    private FakeBackend add(final Endpoint.Builder builder, final EndpointId id) {
        final Vm vm =
                new Vm(
                        new VmId("vm-" + id),
                        "127.0.0.1",
                        new FailureDomain("kigali", "kg-gasabo"),
                        "small",
                        Billing.RECLAIMABLE,
                        VmState.LIVE);
        final Endpoint endpoint = builder.vm(vm).uri(URI.create("http://127.0.0.1")).build();
        final FakeBackend backend = new FakeBackend(this, endpoint);
        mBackends.put(id, backend);
        return backend;
    }
}
