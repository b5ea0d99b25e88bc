package org.whinhead.daemon;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.whinhead.admission.SimpleAdmission;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.RequestId;
import org.whinhead.daemon.caller.CallerServer;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.daemon.engine.ActionDispatcher;
import org.whinhead.daemon.engine.AttemptTransport;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.platform.http.HttpCaller;
import org.whinhead.requests.ClaimOutcome;
import org.whinhead.requests.DefaultRequestCoordinator;
import org.whinhead.routing.AffinityRouter;
import org.whinhead.routing.RoutingSettings;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;

/** One daemon: its servers, its duties and their wiring. Many may run in one process. */
public final class Daemon implements AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(30);
    private static final long TICK_MILLIS = 20;
    private static final String RANDOM = "L64X128MixRandom";
    private static final int MAX_RUNNING = 1024;
    private static final int MAX_WAITING = 1024;

    private final DaemonSettings mSettings;
    private final DaemonId mId;
    private final AtomicReference<DeploymentView> mView =
            new AtomicReference<>(DeploymentView.EMPTY);
    private final LiveRequests mRequests = new LiveRequests();
    private final DecisionLoop mLoop;
    private final AffinityRouter mRouter;
    private final HttpCaller mCaller;
    private final Undertow mServer;
    private final XnioExecutor.Key mTicks;
    private volatile boolean mStopping;

    private Daemon(final DaemonSettings settings, final DaemonOptions options) {
        mSettings = settings;
        mId = new DaemonId(settings.name() + "-" + UUID.randomUUID());
        mLoop =
                new DecisionLoop(
                        settings.name() + "-decisions",
                        settings.limits().ringSize(),
                        mRequests,
                        options.clock());
        final RandomGenerator random = RandomGenerator.of(RANDOM);
        mRouter = new AffinityRouter(RoutingSettings.of(settings.domain()), random);
        mCaller = new HttpCaller(options.worker());
        final AttemptTransport transport =
                new AttemptTransport(mCaller, mLoop, CONNECT_TIMEOUT, SILENCE_TIMEOUT);
        final ActionDispatcher actions =
                new ActionDispatcher(mRequests, transport, options.tickets(), this::claim);
        mLoop.start(
                DefaultRequestCoordinator.builder()
                        .router(mRouter)
                        .admission(new SimpleAdmission(MAX_RUNNING, MAX_WAITING))
                        .actions(actions)
                        .random(random)
                        .build());
        mServer = server(options);
        mTicks = ticks(options.worker());
    }

    /**
     * Starts a daemon.
     *
     * @param settings its settings
     * @param options what it shares with others of the process
     * @return the daemon, which listens
     */
    public static Daemon start(final DaemonSettings settings, final DaemonOptions options) {
        final Daemon daemon = new Daemon(settings, options);
        daemon.mServer.start();
        return daemon;
    }

    /** Returns the address that callers connect to. */
    public URI callerUri() {
        final InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        return URI.create("http://" + new HostPort(address.getHostString(), address.getPort()));
    }

    /** Returns this incarnation's identity. */
    public DaemonId id() {
        return mId;
    }

    /**
     * Puts settings in force.
     *
     * @param view what requests are checked against from now on
     */
    public void viewChanged(final DeploymentView view) {
        mView.set(view);
    }

    /**
     * Takes in which endpoints there are.
     *
     * @param endpoints all endpoints
     */
    public void endpointsChanged(final List<Endpoint> endpoints) {
        mLoop.offer(new DecisionEvent.Update(() -> mRouter.endpointsChanged(endpoints)));
    }

    @Override
    public void close() {
        mStopping = true;
        mTicks.remove();
        mServer.stop();
        mCaller.close();
        mLoop.close();
    }

    private Undertow server(final DaemonOptions options) {
        return Undertow.builder()
                .setWorker(options.worker())
                .addHttpListener(
                        mSettings.listen().callers().port(),
                        mSettings.listen().callers().host(),
                        CallerServer.builder(mId)
                                .view(mView::get)
                                .addresses(this::addresses)
                                .decisions(mRequests, mLoop)
                                .tickets(options.tickets())
                                .stopping(() -> mStopping)
                                .clock(options.clock())
                                .limits(
                                        mSettings.limits().maxBodyBytes(),
                                        mSettings.limits().maxInProgress())
                                .bodyTimeout(options.bodyTimeout())
                                .build())
                .build();
    }

    /** Without a log there is no claim, and what may run once only does not run. */
    private void claim(final RequestId request) {
        mLoop.offer(new DecisionEvent.Claimed(request, ClaimOutcome.UNAVAILABLE));
    }

    private List<EntryAddress> addresses() {
        return mStopping
                ? List.of()
                : List.of(new EntryAddress(mSettings.publicUri(), mSettings.domain()));
    }

    private XnioExecutor.Key ticks(final XnioWorker worker) {
        return worker.getIoThread()
                .executeAtInterval(
                        () -> mLoop.offer(new DecisionEvent.Tick()),
                        TICK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }
}
