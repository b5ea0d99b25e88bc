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
import org.whinhead.daemon.duty.DutyLoop;
import org.whinhead.daemon.operator.PeersInForce;
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
public final class PeerDuty implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerDuty.class);
    private static final int RING_SLOTS = 4096;
    private static final long TICK_MILLIS = 100;
    private static final long RETRY_MILLIS = 5;
    private static final long FAREWELL_MILLIS = 2_000;
    private static final long LONGEST_FAREWELL_MILLIS = 3_000;
    private static final Duration RELOAD_INTERVAL = Duration.ofSeconds(10);
    private static final String RANDOM = "L64X128MixRandom";

    private final DaemonSettings mSettings;
    private final InstantSource mClock;
    private final XnioIoThread mTimers;
    private final PeerDutyListener mListener;
    private final DutyLoop mLoop;
    private final NettyPeerTransport mTransport;
    private final DaemonMember mSelf;
    private final Seeds mSeeds;
    private final ListedVms mListed;
    private final LoadSharing mLoad;
    private final ViewOutlet mOutlet;
    private final InForceQuestions mInForce;
    private final XnioExecutor.Key mTicks;
    private volatile Membership mMembership;
    private volatile MembershipView mView;
    private volatile CompletableFuture<Void> mFarewell = CompletableFuture.completedFuture(null);
    private Instant mNextReload;

    private PeerDuty(
            final DaemonSettings settings,
            final DaemonId id,
            final InstantSource clock,
            final XnioIoThread timers,
            final LongSupplier position,
            final PeerDutyListener listener,
            final DutyLoop loop)
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
                        RandomGenerator.of(RANDOM),
                        this::arrived);
        mSelf = OwnMember.of(settings, listen());
        mSeeds = new Seeds(settings.seeds(), mSelf.address());
        mListed = new ListedVms(mSelf);
        mLoad = new LoadSharing(mSelf);
        mOutlet = new ViewOutlet(settings.vm(), vm -> mMembership.goneBy(vm), listener);
        mInForce = new InForceQuestions(mTransport, settings.vm(), this::view, position);
        final Instant now = clock.instant();
        mNextReload = now.plus(RELOAD_INTERVAL);
        final Membership membership =
                new Membership(
                        MembershipSettings.defaults(),
                        mSelf,
                        now.toEpochMilli(),
                        RandomGenerator.of(RANDOM),
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
    public static PeerDuty start(
            final DaemonSettings settings,
            final DaemonId id,
            final InstantSource clock,
            final XnioIoThread timers,
            final LongSupplier position,
            final PeerDutyListener listener)
            throws PeerException {
        final DutyLoop loop = new DutyLoop(settings.name() + "-peers", RING_SLOTS);
        try {
            return new PeerDuty(settings, id, clock, timers, position, listener, loop);
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
    public PeersInForce inForce() {
        return mInForce;
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
    public boolean polls(final EndpointId endpoint) {
        return mLoad.polls(endpoint);
    }

    /**
     * The platform's VM list was read; from any thread.
     *
     * @param listing the list
     */
    public void listed(final VmListing listing) {
        mLoop.offer(
                () -> {
                    final Instant now = mClock.instant();
                    mMembership.listReceived(mListed.snapshot(listing, mView), now);
                    mOutlet.publish(mView, now);
                });
    }

    /**
     * The endpoints were described with the models that they have loaded; from any thread.
     *
     * @param endpoints all endpoints of the list
     */
    public void described(final List<Endpoint> endpoints) {
        deliver(
                () -> {
                    mOutlet.described(endpoints);
                    mOutlet.publish(mView, mClock.instant());
                });
    }

    /**
     * The cloud said that VMs are taken back; from any thread.
     *
     * @param notice the VMs
     */
    public void noticed(final LeavingNotice notice) {
        deliver(
                () -> {
                    final Instant now = mClock.instant();
                    mMembership.noticeReceived(notice, now);
                    mOutlet.publish(mView, now);
                });
    }

    /**
     * This daemon asked an endpoint for its load; from any thread.
     *
     * @param report the answer
     */
    public void polled(final LoadReport report) {
        mLoop.offer(() -> mLoad.polled(report));
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
    public void stopping(final Instant goneBy) {
        final CompletableFuture<Void> told = new CompletableFuture<>();
        mFarewell = told;
        deliver(
                () -> {
                    final Instant now = mClock.instant();
                    mOutlet.ownStop();
                    mMembership.shutdownStarted(goneBy, now);
                    mMembership.tick(now);
                    mTimers.executeAfter(
                            () -> told.complete(null), FAREWELL_MILLIS, TimeUnit.MILLISECONDS);
                });
    }

    /**
     * Hands over what comes only once. Guards against a full ring, which would lose a notice and
     * leave its VM open to new work on every daemon: it is offered again until there is room.
     */
    private void deliver(final Runnable task) {
        if (!mLoop.offer(task)) {
            mTimers.executeAfter(() -> deliver(task), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void arrived(final IncomingMessage message) {
        // A message that finds the ring full is lost like any other; peers say all again.
        mLoop.offer(() -> received(message));
    }

    private void received(final IncomingMessage message) {
        if (mMembership == null) {
            // The address is taken before this daemon can tell it to others, so nobody waits yet.
            return;
        }
        try {
            take(message);
        } catch (final IllegalArgumentException e) {
            LOGGER.atDebug().addKeyValue("from", message.from()).log(e.getMessage());
        }
    }

    private void take(final IncomingMessage message) {
        final Envelope envelope = message.envelope();
        if (envelope.hasLoadDigest()) {
            LoadSharing.decode(envelope.getLoadDigest()).forEach(mListener::loadReported);
            return;
        }
        if (envelope.hasSettingsQuery()) {
            message.reply(mInForce.answer());
            return;
        }
        final Optional<MembershipMessage> decoded = MembershipCodec.decode(envelope);
        if (decoded.isPresent()) {
            final Instant now = mClock.instant();
            mMembership.messageReceived(message.from(), decoded.get(), now);
            mOutlet.publish(mView, now);
        }
    }

    private void tick() {
        final Instant now = mClock.instant();
        mMembership.tick(now);
        mOutlet.publish(mView, now);
        final Envelope greeting = MembershipCodec.encode(mMembership.ownHeartbeat());
        mSeeds.due(mView, now).forEach(seed -> mTransport.connectToSeed(seed, greeting));
        mLoad.due(now)
                .ifPresent(digest -> mLoad.peers().forEach(peer -> mTransport.send(peer, digest)));
        if (!now.isBefore(mNextReload)) {
            mNextReload = now.plus(RELOAD_INTERVAL);
            mTransport.tick();
        }
    }

    @Override
    public void close() {
        mFarewell.completeOnTimeout(null, LONGEST_FAREWELL_MILLIS, TimeUnit.MILLISECONDS).join();
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
            mOutlet.viewChanged();
        }

        private boolean wasGone(final VmId vm) {
            return mView.daemon(vm)
                    .filter(member -> member.vm().state() == VmState.GONE)
                    .isPresent();
        }
    }
}
