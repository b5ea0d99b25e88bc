package org.whinhead.daemon;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.admission.AdmissionSettings;
import org.whinhead.api.model.DaemonId;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.daemon.burn.BurnCollector;
import org.whinhead.daemon.burn.BurnHandler;
import org.whinhead.daemon.caller.CallerApi;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.daemon.engine.ActionDispatcher;
import org.whinhead.daemon.engine.AttemptTransport;
import org.whinhead.daemon.limits.AdmissionMetrics;
import org.whinhead.daemon.limits.DaemonAdmission;
import org.whinhead.daemon.limits.LimitTracker;
import org.whinhead.daemon.log.LogSnapshot;
import org.whinhead.daemon.operator.Meters;
import org.whinhead.daemon.operator.OperatorCallDispatcher;
import org.whinhead.daemon.operator.OperatorHandler;
import org.whinhead.daemon.peers.PeerMeters;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.report.BurnRecorder;
import org.whinhead.requests.Decision;
import org.whinhead.requests.DefaultRequestCoordinator;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.RoutingSettings;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.xnio.XnioExecutor;

/** A daemon: its servers, its background services and their wiring. One process may run several. */
public final class Daemon implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(Daemon.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(30);
    private static final long TICK_MILLIS = 20;
    private static final long BURN_COUNT_MILLIS = 1_000;
    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";
    private static final int CALLER_LISTENER = 0;
    private static final int OPERATOR_LISTENER = 1;

    private final DaemonSettings mSettings;
    private final DaemonOptions mOptions;
    private final LiveRequests mRequests = new LiveRequests();
    private final LimitTracker mLimits = new LimitTracker(AdmissionSettings.DEFAULT.initialSlots());
    private final DaemonAdmission mAdmission =
            new DaemonAdmission(mLimits, AdmissionSettings.DEFAULT);
    private final LocalDaemonState mState;
    private final BurnCollector mBurn;
    private final DecisionLoop mLoop;
    private final AffinityRouter mRouter;
    private final HttpCaller mCaller;
    private final LogWiring mLog;
    private final DefaultRequestCoordinator mCoordinator;
    private final PeerWiring mPeers;
    private final ConnectionTracker mConnections;
    private final Undertow mServer;
    private final XnioExecutor.Key mTicks;
    private final XnioExecutor.Key mCounting;

    private Daemon(final DaemonSettings settings, final DaemonOptions options) {
        mSettings = settings;
        mOptions = options;
        mState = new LocalDaemonState(settings, mRequests, mLimits);
        mBurn = newBurnCollector();
        mLoop =
                new DecisionLoop(
                        settings.name() + "-decisions",
                        settings.limits().ringSize(),
                        mRequests,
                        options.clock());
        final RandomGenerator random = RandomGenerator.of(RANDOM_ALGORITHM);
        mRouter = new AffinityRouter(RoutingSettings.of(settings.domain()), random);
        mCaller = new HttpCaller(options.worker());
        mLog = new LogWiring(settings, options, mCaller, mState, mRequests, mLoop);
        mCoordinator = newCoordinator(random);
        mLoop.start(mCoordinator);
        mPeers =
                new PeerWiring(
                        settings,
                        options,
                        mCaller,
                        mState,
                        mLoop,
                        mRouter,
                        mLimits,
                        mLog.service());
        mConnections = new ConnectionTracker(mState::isStopping);
        mServer = newServer();
        mServer.start();
        mLog.start();
        mTicks = scheduleEvent(TICK_MILLIS, new DecisionEvent.Tick());
        mCounting = scheduleEvent(BURN_COUNT_MILLIS, new DecisionEvent.Task(mBurn::recordWaiting));
        mPeers.start(settings, mCaller);
    }

    /**
     * Starts a daemon.
     *
     * @param settings the daemon's settings
     * @param options the resources and limits beside the settings
     * @return the daemon, which listens
     */
    public static Daemon start(final DaemonSettings settings, final DaemonOptions options) {
        final Daemon daemon = new Daemon(settings, options);
        LOGGER.atInfo()
                .addKeyValue("daemon", daemon.id())
                .addKeyValue("callers", daemon.callerUri())
                .addKeyValue("operators", daemon.operatorUri())
                .log("daemon started");
        return daemon;
    }

    /** Returns the address that callers connect to. */
    public URI callerUri() {
        return listenerUri(CALLER_LISTENER);
    }

    /** Returns the address that operators connect to. */
    public URI operatorUri() {
        return listenerUri(OPERATOR_LISTENER);
    }

    /** Returns the address that other daemons connect to. */
    public HostPort peerAddress() {
        return mPeers.peers().address();
    }

    /** Returns this incarnation's identity. */
    public DaemonId id() {
        return mState.id();
    }

    /** Returns the snapshot of the state that this daemon has read from the log. */
    public LogSnapshot logSnapshot() {
        return mLog.service().snapshot();
    }

    /**
     * Puts settings in force.
     *
     * @param settings the settings to apply
     * @param revision the log offset of the last change
     */
    public void settingsChanged(final DeploymentSettings settings, final long revision) {
        mState.settingsChanged(settings, revision);
    }

    /**
     * Stops gracefully: refuses new requests and gives callers other addresses, lets requests in
     * progress continue for at most the graceful-stop time of the settings, and then closes the
     * daemon.
     *
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public void stop() throws InterruptedException {
        mState.beginStop();
        final Duration limit = mSettings.gracefulStop();
        final Instant goneBy = mOptions.clock().instant().plus(limit);
        LOGGER.atInfo().addKeyValue("inProgress", mRequests.count()).log("daemon stopping");
        final CountDownLatch idle = new CountDownLatch(1);
        final XnioExecutor.Key idleCheck =
                mCaller.anyThread()
                        .executeAtInterval(
                                () -> {
                                    if (mRequests.isIdle()) {
                                        idle.countDown();
                                    }
                                },
                                TICK_MILLIS,
                                TimeUnit.MILLISECONDS);
        mPeers.peers().announceStop(goneBy);
        mLoop.offer(new DecisionEvent.Stopping(goneBy));
        final boolean finished = idle.await(limit.toMillis(), TimeUnit.MILLISECONDS);
        idleCheck.remove();
        LOGGER.atInfo().addKeyValue("finished", finished).log("daemon stopped");
        close();
    }

    @Override
    public void close() {
        mState.beginStop();
        mPeers.close();
        mTicks.remove();
        mCounting.remove();
        mLoop.stopDeciding();
        mServer.stop();
        mConnections.close();
        mLog.close();
        mCaller.close();
        mLoop.close();
    }

    private DefaultRequestCoordinator newCoordinator(final RandomGenerator random) {
        final AttemptTransport transport =
                new AttemptTransport(mCaller, mLoop, CONNECT_TIMEOUT, SILENCE_TIMEOUT);
        final ActionDispatcher actions =
                new ActionDispatcher(
                        mRequests,
                        transport,
                        mOptions.tickets(),
                        mLog,
                        () -> mPeers.peers().tickets());
        return DefaultRequestCoordinator.builder()
                .router(mRouter)
                .admission(mAdmission)
                .actions(actions)
                .settings(mOptions.requests())
                .random(random)
                .build();
    }

    private Undertow newServer() {
        final HostPort callers = mSettings.listen().callers();
        final HostPort operators = mSettings.listen().operators();
        return Undertow.builder()
                .setWorker(mOptions.worker())
                .addHttpListener(
                        callers.port(), callers.host(), mConnections.tracking(callerHandler()))
                .addHttpListener(
                        operators.port(),
                        operators.host(),
                        mConnections.tracking(operatorHandler()))
                .build();
    }

    private BurnCollector newBurnCollector() {
        final InstantSource clock = mOptions.clock();
        final BurnRecorder recorder =
                new BurnRecorder(id(), mSettings.publicUri(), clock.instant());
        return new BurnCollector(recorder, clock, mState::settings);
    }

    private HttpHandler callerHandler() {
        return CallerApi.builder(id())
                .view(mState::view)
                .addresses(mState::addresses)
                .decisions(mRequests, mLoop)
                .burn(mBurn)
                .tickets(mOptions.tickets(), mPeers.peers().tickets())
                .stopping(mState::isStopping)
                .clock(mOptions.clock())
                .limits(mSettings.limits().maxBodyBytes(), mSettings.limits().maxInProgress())
                .bodyTimeout(mOptions.bodyTimeout())
                .build();
    }

    private HttpHandler operatorHandler() {
        return new OperatorHandler(
                mSettings,
                mState,
                newMeters(),
                new OperatorCallDispatcher(
                        mSettings.name(),
                        mLog.service(),
                        mPeers.peers().revisionQuery(),
                        this::findDecisions),
                new BurnHandler(mBurn, mLoop));
    }

    private CompletionStage<List<Decision>> findDecisions(final String id) {
        final CompletableFuture<List<Decision>> found = new CompletableFuture<>();
        final Runnable search = () -> found.complete(mCoordinator.decisionLog().findByName(id));
        if (!mLoop.offerNew(new DecisionEvent.Task(search))) {
            found.completeExceptionally(new IllegalStateException("the decision ring is full"));
        }
        return found;
    }

    private Meters newMeters() {
        final Meters meters = new Meters();
        meters.gauge(
                "whinhead.requests.in.progress",
                "requests",
                "Requests that were taken in and have no final answer yet.",
                mRequests::count);
        meters.gauge(
                "whinhead.decisions.waiting",
                "events",
                "Events that wait in the decision ring.",
                mLoop::waitingEvents);
        meters.gauge(
                "whinhead.burn.waiting",
                "samples",
                "Ended requests that wait to be counted for the report on burn.",
                mBurn::waitingSamples);
        PeerMeters.register(meters, mPeers.peers());
        AdmissionMetrics.register(meters, mAdmission);
        return meters;
    }

    private URI listenerUri(final int listener) {
        final InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(listener).getAddress();
        return URI.create("http://" + new HostPort(address.getHostString(), address.getPort()));
    }

    private XnioExecutor.Key scheduleEvent(final long millis, final DecisionEvent event) {
        return mOptions.worker()
                .getIoThread()
                .executeAtInterval(() -> mLoop.offer(event), millis, TimeUnit.MILLISECONDS);
    }
}
