package org.whinhead.daemon.peers;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.clients.vms.VmListing;
import org.whinhead.daemon.duty.TaskLoop;
import org.whinhead.daemon.operator.RevisionQuery;
import org.whinhead.daemon.request.TicketDirectory;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.LeavingNotice;
import org.whinhead.membership.Membership;
import org.whinhead.membership.MembershipActions;
import org.whinhead.membership.MembershipMessage;
import org.whinhead.membership.MembershipSettings;
import org.whinhead.membership.MembershipView;
import org.whinhead.peer.IncomingMessage;
import org.whinhead.peer.MembershipCodec;
import org.whinhead.peer.NettyPeerTransport;
import org.whinhead.peer.PeerCounters;
import org.whinhead.peer.PeerException;
import org.whinhead.peer.PeerIdentity;
import org.whinhead.peer.PeerSettings;
import org.whinhead.peer.PeerTlsFiles;
import org.whinhead.peer.generated.PeerProto.Envelope;
import org.whinhead.routing.LoadReport;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Exchanges membership, load reports and log positions with peers on its own thread. */
public final class PeerService implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerService.class);
    private static final int RING_SLOTS = 4096;
    private static final long TICK_MILLIS = 100;
    private static final long RETRY_MILLIS = 5;
    private static final long STOP_ANNOUNCEMENT_MILLIS = 2_000;
    private static final long MAX_STOP_ANNOUNCEMENT_MILLIS = 3_000;
    private static final Duration RELOAD_INTERVAL = Duration.ofSeconds(10);
    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";

    private final DaemonSettings mSettings;
    private final InstantSource mClock;
    private final XnioIoThread mTimers;
    private final PeerServiceListener mListener;
    private final TaskLoop mLoop;
    private final TicketSharing mTickets;
    private final NettyPeerTransport mTransport;
    private final DaemonMember mSelf;
    private final SeedSelector mSeeds;
    private final VmListConverter mVmListConverter;
    private final LoadReportSharing mLoad;
    private final ViewChangePublisher mPublisher;
    private final PeerPositionQuery mPositionQuery;
    private final XnioExecutor.Key mTicks;
    private volatile Membership mMembership;
    private volatile MembershipView mView;
    private volatile CompletableFuture<Void> mStopAnnounced =
            CompletableFuture.completedFuture(null);
    private Instant mNextReload;

    private PeerService(
            final DaemonSettings settings,
            final DaemonId id,
            final InstantSource clock,
            final XnioIoThread timers,
            final LongSupplier position,
            final PeerServiceListener listener,
            final TaskLoop loop)
            throws PeerException {
        mSettings = settings;
        mClock = clock;
        mTimers = timers;
        mListener = listener;
        mLoop = loop;
        mTransport =
                new NettyPeerTransport(
                        PeerSettings.defaults(),
                        new PeerIdentity(settings.vm(), id),
                        tlsFiles(settings),
                        clock,
                        RandomGenerator.of(RANDOM_ALGORITHM),
                        this::enqueue);
        mSelf = OwnMemberFactory.of(settings, listen());
        mSeeds = new SeedSelector(settings.seeds(), mSelf.address());
        mVmListConverter = new VmListConverter(mSelf);
        mLoad = new LoadReportSharing(mSelf);
        mPublisher = new ViewChangePublisher(settings.vm(), vm -> mMembership.goneBy(vm), listener);
        mPositionQuery = new PeerPositionQuery(mTransport, settings.vm(), this::view, position);
        mTickets = new TicketSharing(mTransport, settings.vm(), this::view);
        final Instant now = clock.instant();
        mNextReload = now.plus(RELOAD_INTERVAL);
        final Membership membership =
                new Membership(
                        MembershipSettings.defaults(),
                        mSelf,
                        now.toEpochMilli(),
                        RandomGenerator.of(RANDOM_ALGORITHM),
                        new Actions(),
                        now);
        mView = membership.view();
        mMembership = membership;
        mTicks =
                timers.executeAtInterval(
                        () -> mLoop.offer(this::tick), TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates a service and starts its thread.
     *
     * @param settings the daemon's settings
     * @param id the daemon's incarnation
     * @param clock the clock
     * @param timers the IO thread that schedules ticks and retries
     * @param position the supplier of this daemon's position in the log; called from any thread
     * @param listener the receiver of events
     * @return the service, which listens for peers
     * @throws PeerException if the peer address or the TLS files cannot be used
     */
    public static PeerService start(
            final DaemonSettings settings,
            final DaemonId id,
            final InstantSource clock,
            final XnioIoThread timers,
            final LongSupplier position,
            final PeerServiceListener listener)
            throws PeerException {
        final TaskLoop loop = new TaskLoop(settings.name() + "-peers", RING_SLOTS);
        try {
            return new PeerService(settings, id, clock, timers, position, listener, loop);
        } catch (final PeerException e) {
            loop.close();
            throw e;
        }
    }

    private static Optional<PeerTlsFiles> tlsFiles(final DaemonSettings settings) {
        return settings.tls()
                .map(files -> new PeerTlsFiles(files.certificate(), files.key(), files.trust()));
    }

    private int listen() throws PeerException {
        final HostPort address = mSettings.listen().peers();
        try {
            return mTransport
                    .listen(new InetSocketAddress(address.host(), address.port()))
                    .getPort();
        } catch (final PeerException e) {
            mTransport.close();
            throw e;
        }
    }

    /** Returns the address at which peers reach this daemon. */
    public HostPort address() {
        return new HostPort(mSelf.address().host(), mSelf.address().port());
    }

    /** Returns the newest membership view; from any thread. */
    public MembershipView view() {
        return mView;
    }

    /** Returns the query of the other daemons' positions in the log. */
    public RevisionQuery revisionQuery() {
        return mPositionQuery;
    }

    /** Returns the directory of tickets that daemons keep for each other; from any thread. */
    public TicketDirectory tickets() {
        return mTickets;
    }

    /** Returns the counters of the transport; from any thread. */
    public PeerCounters counters() {
        return mTransport.counters();
    }

    /**
     * Returns whether this daemon polls the load of an endpoint; from any thread.
     *
     * @param endpoint the endpoint
     * @return false if peers poll the endpoint and share the reports
     */
    public boolean isPolledHere(final EndpointId endpoint) {
        return mLoad.isPolledHere(endpoint);
    }

    /**
     * Handles a VM list read from the platform; from any thread.
     *
     * @param listing the list
     */
    public void vmListRead(final VmListing listing) {
        mLoop.offer(
                () -> {
                    final Instant now = mClock.instant();
                    mMembership.listReceived(mVmListConverter.snapshot(listing, mView), now);
                    mPublisher.publish(mView, now);
                });
    }

    /**
     * Handles the endpoints of the VM list with their loaded models; from any thread.
     *
     * @param endpoints all endpoints of the list
     */
    public void endpointsDescribed(final List<Endpoint> endpoints) {
        offerUntilAccepted(
                () -> {
                    mPublisher.endpointsDescribed(endpoints);
                    mPublisher.publish(mView, mClock.instant());
                });
    }

    /**
     * Handles the cloud's notice that VMs will be reclaimed; from any thread.
     *
     * @param notice the VMs and the time at which they stop
     */
    public void noticeReceived(final LeavingNotice notice) {
        offerUntilAccepted(
                () -> {
                    final Instant now = mClock.instant();
                    mMembership.noticeReceived(notice, now);
                    mPublisher.publish(mView, now);
                });
    }

    /**
     * Handles a load report that this daemon polled; from any thread.
     *
     * @param report the report
     */
    public void loadPolled(final LoadReport report) {
        mLoop.offer(() -> mLoad.addReport(report));
    }

    /**
     * Announces the graceful stop of this daemon to its peers at once; from any thread.
     *
     * <p>Guards against an announcement that is lost with its connection, after which peers would
     * list this daemon to callers until they suspect it: {@link #close} waits until two seconds
     * have passed, in which heartbeats repeat the announcement.
     *
     * @param goneBy the time at which the daemon stops answering
     */
    public void announceStop(final Instant goneBy) {
        final CompletableFuture<Void> announced = new CompletableFuture<>();
        mStopAnnounced = announced;
        offerUntilAccepted(
                () -> {
                    final Instant now = mClock.instant();
                    mPublisher.ownStopBegun();
                    mMembership.shutdownStarted(goneBy, now);
                    mMembership.tick(now);
                    mTimers.executeAfter(
                            () -> announced.complete(null),
                            STOP_ANNOUNCEMENT_MILLIS,
                            TimeUnit.MILLISECONDS);
                });
    }

    /**
     * Adds a task whose event is not repeated. Guards against a full ring, which would lose a
     * notice, so that every daemon would send new work to its VM: the task is offered again until
     * the ring has room.
     */
    private void offerUntilAccepted(final Runnable task) {
        if (!mLoop.offer(task)) {
            mTimers.executeAfter(
                    () -> offerUntilAccepted(task), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void enqueue(final IncomingMessage message) {
        // A full ring drops the message, as the network may; peers repeat their state.
        mLoop.offer(() -> receive(message));
    }

    private void receive(final IncomingMessage message) {
        if (mMembership == null) {
            // The transport listens before membership exists; no peer waits for a reply yet.
            return;
        }
        try {
            handle(message);
        } catch (final IllegalArgumentException e) {
            LOGGER.atDebug().addKeyValue("from", message.from()).log(e.getMessage());
        }
    }

    private void handle(final IncomingMessage message) {
        final Envelope envelope = message.envelope();
        if (envelope.hasLoadDigest()) {
            LoadReportSharing.decode(envelope.getLoadDigest()).forEach(mListener::loadReported);
            return;
        }
        if (envelope.hasSettingsQuery()) {
            message.reply(mPositionQuery.answer());
            return;
        }
        if (envelope.hasTicketNote()) {
            mTickets.receive(envelope.getTicketNote());
            return;
        }
        if (envelope.hasTicketQuery()) {
            message.reply(mTickets.answer(envelope.getTicketQuery()));
            return;
        }
        final Optional<MembershipMessage> decoded = MembershipCodec.decode(envelope);
        if (decoded.isPresent()) {
            final Instant now = mClock.instant();
            mMembership.messageReceived(message.from(), decoded.get(), now);
            mPublisher.publish(mView, now);
        }
    }

    private void tick() {
        final Instant now = mClock.instant();
        mMembership.tick(now);
        mPublisher.publish(mView, now);
        final Envelope heartbeat = MembershipCodec.encode(mMembership.ownHeartbeat());
        mSeeds.seedsToContact(mView, now)
                .forEach(seed -> mTransport.connectToSeed(seed, heartbeat));
        mLoad.nextDigest(now)
                .ifPresent(digest -> mLoad.peers().forEach(peer -> mTransport.send(peer, digest)));
        if (!now.isBefore(mNextReload)) {
            mNextReload = now.plus(RELOAD_INTERVAL);
            mTransport.tick();
        }
    }

    @Override
    public void close() {
        mStopAnnounced
                .completeOnTimeout(null, MAX_STOP_ANNOUNCEMENT_MILLIS, TimeUnit.MILLISECONDS)
                .join();
        mTicks.remove();
        mLoop.close();
        mTransport.close();
    }

    /** Executes the actions that membership decides. */
    private final class Actions implements MembershipActions {
        @Override
        public void send(final DaemonAddress to, final MembershipMessage message) {
            mTransport.send(to, MembershipCodec.encode(message));
        }

        @Override
        public void viewChanged(final MembershipView view) {
            for (final DaemonMember member : view.daemons()) {
                if (member.vm().state() == VmState.GONE && !wasGone(member.id())) {
                    mTransport.forget(member.id());
                }
            }
            mView = view;
            mLoad.viewChanged(view);
            mPublisher.viewChanged();
        }

        private boolean wasGone(final VmId vm) {
            return mView.daemon(vm)
                    .filter(member -> member.vm().state() == VmState.GONE)
                    .isPresent();
        }
    }
}
