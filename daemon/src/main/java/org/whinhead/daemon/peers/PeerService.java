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

/** Talks with the other daemons on a thread of its own: who is live, and who knows what. */
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
     * Starts the duty.
     *
     * @param settings the daemon's settings
     * @param id the daemon's incarnation
     * @param clock the time
     * @param timers the IO thread that ticks
     * @param position how far this daemon has folded the log, from any thread
     * @param listener told what comes of it
     * @return the duty, which listens
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

    /** Returns where peers reach this daemon. */
    public HostPort address() {
        return new HostPort(mSelf.address().host(), mSelf.address().port());
    }

    /** Returns the newest view, from any thread. */
    public MembershipView view() {
        return mView;
    }

    /** Returns what asks the other daemons how far they have folded the log. */
    public RevisionQuery revisionQuery() {
        return mPositionQuery;
    }

    /** Returns what the transport has counted, from any thread. */
    public PeerCounters counters() {
        return mTransport.counters();
    }

    /**
     * Tells whether this daemon asks an endpoint for its load; from any thread.
     *
     * @param endpoint the endpoint
     * @return false if peers ask it and share the answer
     */
    public boolean isPolledHere(final EndpointId endpoint) {
        return mLoad.isPolledHere(endpoint);
    }

    /**
     * The platform's VM list was read; from any thread.
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
     * The endpoints were described with the models that they have loaded; from any thread.
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
     * The cloud said that VMs are taken back; from any thread.
     *
     * @param notice the VMs
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
     * This daemon asked an endpoint for its load; from any thread.
     *
     * @param report the answer
     */
    public void loadPolled(final LoadReport report) {
        mLoop.offer(() -> mLoad.addReport(report));
    }

    /**
     * This daemon begins its graceful stop; from any thread. The peers are told at once.
     *
     * <p>Guards against a goodbye that is lost with its connection, after which peers name this
     * daemon to callers until they suspect it: {@link #close} waits until two seconds have passed,
     * in which heartbeats show the peers what they lack.
     *
     * @param goneBy when it stops answering
     */
    public void announceStop(final Instant goneBy) {
        final CompletableFuture<Void> told = new CompletableFuture<>();
        mStopAnnounced = told;
        offerUntilAccepted(
                () -> {
                    final Instant now = mClock.instant();
                    mPublisher.ownStopBegun();
                    mMembership.shutdownStarted(goneBy, now);
                    mMembership.tick(now);
                    mTimers.executeAfter(
                            () -> told.complete(null),
                            STOP_ANNOUNCEMENT_MILLIS,
                            TimeUnit.MILLISECONDS);
                });
    }

    /**
     * Hands over what comes only once. Guards against a full ring, which would lose a notice and
     * leave its VM open to new work on every daemon: it is offered again until there is room.
     */
    private void offerUntilAccepted(final Runnable task) {
        if (!mLoop.offer(task)) {
            mTimers.executeAfter(
                    () -> offerUntilAccepted(task), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void enqueue(final IncomingMessage message) {
        // A message that finds the ring full is lost like any other; peers say all again.
        mLoop.offer(() -> receive(message));
    }

    private void receive(final IncomingMessage message) {
        if (mMembership == null) {
            // The address is taken before this daemon can tell it to others, so nobody waits yet.
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
        final Envelope greeting = MembershipCodec.encode(mMembership.ownHeartbeat());
        mSeeds.seedsToContact(mView, now).forEach(seed -> mTransport.connectToSeed(seed, greeting));
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

    /** Carries out what membership decides. */
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
