package org.whinhead.gateway;

import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.caller.CallerHttpServer;
import org.whinhead.gateway.crash.CrashDetector;
import org.whinhead.gateway.duty.DutyLeaseManager;
import org.whinhead.gateway.endpoint.EndpointConnections;
import org.whinhead.gateway.endpoint.EndpointSpeedLogger;
import org.whinhead.gateway.exchange.Exchanges;
import org.whinhead.gateway.exchange.RequestLogger;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.http.HttpReply;
import org.whinhead.gateway.http.SimpleHttpServer;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.gateway.peers.Addresses;
import org.whinhead.gateway.peers.DigestReadCoordinator;
import org.whinhead.gateway.peers.MemberDiscovery;
import org.whinhead.gateway.peers.PeerDatagramChannel;
import org.whinhead.gateway.peers.PermitMessenger;
import org.whinhead.gateway.quota.DatagramQuotaTransport;
import org.whinhead.gateway.quota.ShareTableSynchronizer;
import org.whinhead.gateway.relay.ConfigurationClient;
import org.whinhead.gateway.rollout.RolloutParticipant;
import org.whinhead.gateway.store.ConfigurationCatchUp;
import org.whinhead.gateway.store.ConfigurationLagLogger;
import org.whinhead.gateway.store.ConfigurationTopicListener;
import org.whinhead.gateway.store.EndpointTopicListener;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.gateway.store.TopicFollower;
import org.whinhead.gateway.store.TopicListener;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.admission.ServiceWork;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.ConfigurationProgress;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.duty.DutyLease;
import org.whinhead.serving.duty.UsageDecider;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;
import org.whinhead.serving.limit.ServiceRetryBudget;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.quota.ClockReading;
import org.whinhead.serving.quota.CustomerQuotas;
import org.whinhead.serving.quota.HeldShares;
import org.whinhead.serving.rollout.RolloutLimits;
import org.whinhead.serving.speed.EndpointSpeeds;
import org.whinhead.serving.stop.StopSchedule;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

/**
 * The gateway daemon: accepts requests of callers, forwards them to endpoints, follows the store
 * and exchanges reports with other daemons.
 *
 * <p>All work runs on one event loop: on a VM with less than one core, passing work between threads
 * costs more than the decisions themselves, and on one thread no decision object needs a lock.
 */
public final class Gateway {

    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

    private static final int HTTP_OK = 200;
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    /** The cache time of directory responses; some callers keep them three times as long. */
    private static final Duration DIRECTORY_CACHE_TIME = Duration.ofSeconds(1);

    /** Wait and pause of configuration reads, so short that a hanging read is given up in time. */
    private static final TopicFollower.PollSchedule CONFIGURATION_PACE =
            new TopicFollower.PollSchedule(Duration.ofMillis(1_000), Duration.ofMillis(20));

    /** Endpoints write several times per second, so reads need a pause but no wait. */
    private static final TopicFollower.PollSchedule ENDPOINT_PACE =
            new TopicFollower.PollSchedule(Duration.ZERO, Duration.ofMillis(400));

    /** The time for which another daemon's copy of the configuration is awaited. */
    private static final Duration COPY_TIMEOUT = Duration.ofMillis(400);

    private final EventLoop mLoop;
    private final GatewaySettings mSettings;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final EndpointAccess mAccess;
    private final CallerHttpServer mCallerServer;
    private final CrashDetector mCrashes;
    private final Exchanges mExchanges;
    private final EndpointTopicListener mEndpointWatch;
    private final ConfigurationTopicListener mConfigurationWatch;
    private final ConfigurationLagLogger mConfigurationLag;
    private final ConfigurationCatchUp mCatchUp;
    private final DigestReadCoordinator mDigests;
    private final PeerDatagramChannel mPeers;
    private final MemberDiscovery mAnnouncement;
    private final DutyLeaseManager mDuties;
    private final ShareTableSynchronizer mShareTable;
    private final Optional<RolloutParticipant> mRollouts;
    private final Optional<EndpointSpeedLogger> mSpeedLogger;
    private final GatewayPorts mPorts;
    private final RequestMetrics mCounts = new RequestMetrics();
    private final ReadinessLogger mReadiness = new ReadinessLogger();
    private SimpleHttpServer mStatusServer;
    private boolean mStopping;

    /**
     * Creates a gateway that is not started yet.
     *
     * @param loop the event loop on which all work runs
     * @param settings the settings of this daemon
     * @param ports the implementations that the platform's adapter supplies
     * @param clock the monotonic clock
     * @param timeOfDay the time of day
     */
    public Gateway(
            final EventLoop loop,
            final GatewaySettings settings,
            final GatewayPorts ports,
            final InstantSource clock,
            final InstantSource timeOfDay) {
        mLoop = loop;
        mSettings = settings;
        mPorts = ports;
        final DatagramQuotaTransport tokens =
                new DatagramQuotaTransport(loop, settings.self().incarnation());
        final PermitMessenger permits = new PermitMessenger(loop);
        mState = createState(settings, tokens, permits, clock, timeOfDay);
        mMembers = new MemberTable(settings.self());
        mAccess = new EndpointAccess(loop, settings, mState, mMembers, ports.endpoints(), mCounts);
        final EndpointConnections connections = mAccess.connections();
        mCrashes = new CrashDetector(connections::probe, mCounts, clock);
        mExchanges =
                new Exchanges(
                        loop,
                        mState,
                        connections,
                        ports.endpoints(),
                        new RequestLogger(clock, mCounts, mState.configurationProgress()),
                        ports.mover().create(mAccess.clients()),
                        mCrashes);
        mCallerServer = new CallerHttpServer(loop, ports.callers(), mExchanges, this::limits);
        mConfigurationWatch =
                new ConfigurationTopicListener(
                        mState, ports.configurations(), ports.configurationKey(), ports.rollouts());
        mConfigurationLag = new ConfigurationLagLogger(mState.configurationProgress());
        mCatchUp = createCatchUp();
        mEndpointWatch = new EndpointTopicListener(mState, connections, ports.entries());
        mDigests = new DigestReadCoordinator(mState, mMembers);
        mPeers = new PeerDatagramChannel(loop, mState, mMembers, mDigests);
        tokens.connect(mState, mPeers::send);
        mPeers.onTokenDatagram(tokens::receive);
        permits.connect(mState, mPeers::send);
        mPeers.onPermitDatagram(permits::receive);
        mAnnouncement =
                new MemberDiscovery(loop, ports.store(), settings.self(), mPeers::addContact);
        mDuties =
                new DutyLeaseManager(
                        loop,
                        mState,
                        mMembers,
                        ports.store(),
                        ports.cloud(),
                        new DutyLeaseManager.Duties(
                                new DutyLease(settings.self().incarnation(), settings.leaseTerm()),
                                new UsageDecider(
                                        mState.usageWindows(), mState.usage(), timeOfDay.instant()),
                                new CapacityPlanner(settings.capacity()),
                                new Random()));
        mShareTable =
                new ShareTableSynchronizer(
                        loop,
                        mState,
                        mMembers,
                        ports.store(),
                        () -> mDuties.fencingToken().isPresent());
        mRollouts = settings.rollouts().map(limits -> createRolloutDuty(limits, ports));
        mSpeedLogger = mState.chooser().speeds().map(EndpointSpeedLogger::new);
        connectEvents();
    }

    private void connectEvents() {
        mExchanges.setStreams(mPeers.streams());
        mCrashes.setNews(mPeers.crashNews());
        mPeers.onPeerCrash(mCrashes::crashFoundByPeer);
        mAccess.shareConfiguration(mConfigurationWatch::copy);
        mRollouts.ifPresent(duty -> mConfigurationWatch.onEarlierOrder(duty::recordEarlierOrder));
        mRollouts.ifPresent(mPeers::onRolloutMessages);
        mPeers.onShareTableVersion(mShareTable::onPeerVersion);
        mEndpointWatch.onLeaving(this::endpointLeaving);
        mExchanges.answers().onDeparture(this::endpointDeparts);
        mAccess.onHealthResponse(mExchanges.answers()::recordHealth);
        mExchanges.answers().onPause(mAccess::drainRelayed);
        mAccess.onRelayedPause(mExchanges.answers()::pauseRequested);
        mPeers.onDepartures(mEndpointWatch::applyDepartures);
        mEndpointWatch.onChange(mDuties.autoscaler()::orderEndpoints);
        addConfigurationGauges();
        mSpeedLogger.ifPresent(logger -> logger.addGauges(mCounts));
        mExchanges.answers().onRejection(mPeers::sendEndpointRejection);
        mExchanges.answers().onLimitStatement(mPeers::sendLimitStatement);
        mDuties.autoscaler().onOrdered(mPeers::sendCapacityOrder);
        mPeers.onCapacityOrder(mDuties.autoscaler()::recordPeerOrder);
        mDigests.onPosition(mDuties::recordStorePosition);
        mDuties.onUsageDecided(mPeers::sendUsageDecisions);
        mPeers.onUsageDecision(mDuties::recordPeerDecision);
    }

    private void endpointLeaving(final EndpointEntry endpoint) {
        mExchanges.endpointLeaving(endpoint.id(), endpoint.leavesIn());
        mAccess.drainRelayed(endpoint.id());
    }

    /** Handles an endpoint that has told this daemon that it leaves: the others must know too. */
    private void endpointDeparts(final EndpointStart departure) {
        mPeers.sendDeparture(departure);
        mEndpointWatch.applyDepartures(List.of(departure));
    }

    private ConfigurationCatchUp createCatchUp() {
        final ConfigurationClient client =
                new ConfigurationClient(
                        mLoop, mSettings.self().peerAddress().getAddress(), COPY_TIMEOUT);
        return new ConfigurationCatchUp(
                mState, mMembers, client::fetch, mConfigurationWatch, new Random());
    }

    private void addConfigurationGauges() {
        final ConfigurationProgress progress = mState.configurationProgress();
        mCounts.addGauge("whinhead.configuration.version", progress::version);
        mCounts.addGauge("whinhead.configuration.newest.version", progress::newestVersion);
        mCounts.addGauge(
                "whinhead.configuration.behind.millis",
                () -> progress.behindFor(mState.clock().instant()).toMillis());
        mCounts.addGauge(
                "whinhead.configuration.read.age.millis",
                () ->
                        progress.sinceRead(mState.clock().instant())
                                .orElse(Duration.ZERO)
                                .toMillis());
        mCounts.addGauge("whinhead.configuration.unreadable", progress::unreadableCount);
        mCounts.addGauge("whinhead.configuration.entries.rejected", this::rejectedEntries);
        mCounts.addGauge(
                "whinhead.shares.active",
                () -> mState.quotas().heldShares().activeCount(mState.moment()));
        mCounts.addGauge("whinhead.streams.known", mState.streams()::size);
        mCounts.addGauges(
                "whinhead.requests.waiting", List.of("service", "rank"), this::waitingRequests);
        final List<String> datagramTags = List.of("direction", "kind");
        mCounts.addGauges("whinhead.peer.datagrams", datagramTags, mPeers.traffic()::datagrams);
        mCounts.addGauges("whinhead.peer.datagram.bytes", datagramTags, mPeers.traffic()::bytes);
        mCounts.addGauge("whinhead.requests.suspected", mState.suspects()::size);
        mCounts.addGauge("whinhead.requests.held.back", mState.suspects()::blockedCount);
    }

    private int rejectedEntries() {
        return mState.configuration()
                .current()
                .map(configuration -> configuration.rejected().entries().size())
                .orElse(0);
    }

    /** Returns the requests that wait for slots, by service and rank. */
    private Map<List<String>, Integer> waitingRequests() {
        final Map<List<String>, Integer> waiting = new HashMap<>();
        for (final ServiceWork work : mState.admission().ownWork()) {
            final List<Integer> byRank = work.waiting().toList();
            for (int rank = 0; rank < byRank.size(); rank++) {
                waiting.put(List.of(work.service(), String.valueOf(rank)), byRank.get(rank));
            }
        }
        return waiting;
    }

    private static ServingState createState(
            final GatewaySettings settings,
            final DatagramQuotaTransport tokens,
            final PermitMessenger permits,
            final InstantSource clock,
            final InstantSource timeOfDay) {
        final Member self = settings.self();
        final HeldShares held =
                new HeldShares(
                        self.peerAddress(),
                        settings.quotaTolerance(),
                        new ClockReading(clock.instant(), timeOfDay.instant()));
        return ServingState.builder()
                .clocks(clock, timeOfDay)
                .chooser(
                        new EndpointChooser(
                                self.domain(),
                                new Random(),
                                settings.pools().learnsSpeed()
                                        ? Optional.of(new EndpointSpeeds())
                                        : Optional.empty()))
                .limits(
                        new CustomerQuotas(self.incarnation(), held, tokens, new Random()),
                        new ServiceRetryBudget(
                                settings.retryShare(),
                                settings.retryFixed(),
                                settings.retryWindow()))
                .usage(
                        new UsageLedger(self.incarnation()),
                        new UsageWindows(settings.usageWindow()))
                .rollouts(settings.rollouts().isPresent())
                .permits(self.peerAddress(), permits)
                .pools(settings.pools())
                .build();
    }

    private RolloutParticipant createRolloutDuty(
            final RolloutLimits limits, final GatewayPorts ports) {
        return new RolloutParticipant(
                mState,
                mMembers,
                mPeers,
                new RolloutParticipant.Ports(ports.store(), ports.rollouts()),
                limits,
                mDuties::fencingToken,
                mExchanges::endpointLeaving);
    }

    private CallerLimits limits() {
        return mState.configuration()
                .current()
                .map(ServingConfiguration::limits)
                .orElse(CallerLimits.INITIAL);
    }

    /** Starts to listen and to follow the store. Must be called on the event loop. */
    public void start() {
        mReadiness.start(mState.clock().instant());
        mStatusServer = new SimpleHttpServer(mLoop);
        mStatusServer.listen(mSettings.readinessAddress(), "text/plain", target -> readiness());
        mStatusServer.listen(mSettings.directoryAddress(), "application/json", this::addresses);
        mStatusServer.listen(mSettings.metricsAddress(), "text/plain", target -> metrics());
        mCallerServer.listen(mSettings.self().callerAddress());
        mSettings.contacts().forEach(mPeers::addContact);
        mPeers.setRelayPort(mSettings.relayAddress().getPort());
        mPeers.start();
        mAccess.start(mPeers::reportToAll);
        followStore();
        mAnnouncement.start();
        mDuties.start();
        mShareTable.start();
        LOG.atInfo()
                .addKeyValue("daemon", mSettings.self().name())
                .addKeyValue("incarnation", mSettings.self().incarnation())
                .addKeyValue("callers", Addresses.format(mSettings.self().callerAddress()))
                .log("started");
    }

    private void followStore() {
        final TopicFollower configuration =
                follower(StoreTopic.CONFIGURATION, mConfigurationWatch, CONFIGURATION_PACE);
        final TopicFollower endpoints =
                follower(StoreTopic.ENDPOINTS, mEndpointWatch, ENDPOINT_PACE);
        mConfigurationWatch.onRead(this::publishConfigurationRead);
        mConfigurationWatch.onChange(mPeers::sendDigest);
        mEndpointWatch.onRead(this::publishEndpointChanges);
        mPeers.onEndpointChanges(mEndpointWatch::applyPeerChanges);
        mDigests.onSkippableEndpoints(endpoints::skipTo);
        mDigests.onListing(endpoints::readNewest);
        mDigests.onNewRecords(
                topic -> {
                    if (topic == StoreTopic.CONFIGURATION) {
                        configuration.readNow();
                    } else {
                        endpoints.readNow();
                    }
                });
        mCounts.addGauge("whinhead.store.era", endpoints::era);
        configuration.start();
        endpoints.start();
        final long interval = Exchanges.LAG_MEASUREMENT_INTERVAL.toMillis();
        mLoop.scheduleWithFixedDelay(
                this::runPeriodicTasks, interval, interval, TimeUnit.MILLISECONDS);
    }

    /** Runs the checks that are due several times per second; one timer serves all of them. */
    private void runPeriodicTasks() {
        GuardedTask.run(LOG, "measure lag", mExchanges::measureLag);
        GuardedTask.run(LOG, "remove lapsed entries", mEndpointWatch::removeLapsedEntries);
        GuardedTask.run(LOG, "check reach", mAccess::tick);
        GuardedTask.run(LOG, "release checked requests", mCrashes::releaseOutdated);
        GuardedTask.run(LOG, "catch up", mCatchUp::tick);
        GuardedTask.run(LOG, "log readiness", this::logReadiness);
        GuardedTask.run(LOG, "log lag", () -> mConfigurationLag.tick(mState.clock().instant()));
        GuardedTask.run(LOG, "write table of shares", mShareTable::tick);
        mRollouts.ifPresent(rollouts -> GuardedTask.run(LOG, "roll-outs", rollouts::tick));
        mSpeedLogger.ifPresent(
                logger ->
                        GuardedTask.run(
                                LOG, "log speeds", () -> logger.tick(mState.clock().instant())));
    }

    private void publishConfigurationRead() {
        mDigests.recordConfigurationRead();
        mPeers.sendDigest();
    }

    private void publishEndpointChanges() {
        mDigests.recordEndpointsRead(mEndpointWatch.end());
        mPeers.sendEndpointChanges(mEndpointWatch.drainChanges());
    }

    private TopicFollower follower(
            final StoreTopic topic,
            final TopicListener listener,
            final TopicFollower.PollSchedule schedule) {
        return new TopicFollower(mLoop, mPorts.store(), topic, listener, schedule, mDigests);
    }

    private HttpReply readiness() {
        final boolean ready = updateReadiness();
        return new HttpReply(ready ? HTTP_OK : HTTP_SERVICE_UNAVAILABLE, new byte[0]);
    }

    private HttpReply metrics() {
        return new HttpReply(HTTP_OK, mCounts.renderPage().getBytes(StandardCharsets.UTF_8));
    }

    /** Returns whether this daemon can serve, and updates its entry in the member table. */
    private boolean updateReadiness() {
        final boolean ready = !mStopping && missingConditions().isEmpty();
        mMembers.setSelfReady(ready);
        return ready;
    }

    private Set<ReadinessCondition> missingConditions() {
        final Set<ReadinessCondition> missing = EnumSet.noneOf(ReadinessCondition.class);
        if (!mCallerServer.isListening()) {
            missing.add(ReadinessCondition.CALLER_PORT);
        }
        if (mState.configuration().current().isEmpty()) {
            missing.add(ReadinessCondition.CONFIGURATION);
        }
        if (!mEndpointWatch.isLoaded()) {
            missing.add(ReadinessCondition.ENDPOINTS);
        }
        if (!mState.quotas().isReady()) {
            missing.add(ReadinessCondition.SHARE_TABLE);
        }
        return missing;
    }

    private void logReadiness() {
        if (!mStopping) {
            mReadiness.tick(missingConditions(), mState.clock().instant());
        }
    }

    private HttpReply addresses(final String target) {
        updateReadiness();
        return mPorts.directory()
                .answer(
                        target,
                        domain -> mMembers.addressesFor(domain, mState.clock().instant()),
                        DIRECTORY_CACHE_TIME);
    }

    /**
     * Adds the contact addresses of changed settings; other settings need a restart.
     *
     * @param changed the current settings
     */
    public void reload(final GatewaySettings changed) {
        changed.contacts().forEach(mPeers::addContact);
        LOG.atInfo().addKeyValue("contacts", changed.contacts()).log("settings reloaded");
    }

    /**
     * Starts a graceful stop: announces at once that this daemon leaves, and lets requests in
     * progress end.
     *
     * @param signalledAt the time of the signal by the monotonic clock; the loop may be late
     * @param ended called within the grace period, once no request is left or the period is almost
     *     over
     */
    public void stop(final Instant signalledAt, final Runnable ended) {
        if (mStopping) {
            return;
        }
        mStopping = true;
        LOG.info("stopping");
        mMembers.setSelfReady(false);
        mPeers.announceLeaving();
        mDuties.stop();
        mAccess.drain();
        new GracefulStop(
                        mLoop,
                        mState.clock(),
                        mCallerServer,
                        mExchanges,
                        mStatusServer,
                        mAccess::relayedCount)
                .begin(new StopSchedule(signalledAt, mSettings.stopGrace()), ended);
    }
}
