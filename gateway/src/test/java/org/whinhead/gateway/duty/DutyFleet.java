package org.whinhead.gateway.duty;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.capacity.CapacitySettings;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.duty.DutyLease;
import org.whinhead.serving.duty.UsageDecider;
import org.whinhead.serving.duty.UsageDecision;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.usage.UsageCount;
import org.whinhead.serving.usage.UsageWindows;

/**
 * Daemons that compete for the lease on the duties in simulated time, each with links of its own to
 * the store and the cloud. The cloud has no reclaimable endpoints left, so that the holder repeats
 * its orders, and requests are counted seconds after their window has ended.
 */
final class DutyFleet {

    private static final String SERVICE = "pool";
    private static final String DOMAIN = "domain-a";
    private static final Duration TERM = Duration.ofSeconds(3);
    private static final Duration CLOUD_TIMEOUT = Duration.ofMillis(900);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(300);

    /** The time after the end of a cut in which late calls are allowed. */
    private static final Duration HEALED_SLACK = Duration.ofMillis(300);

    /** Marks a late call that was sent when its link was cut already. */
    static final String SENT_INTO_CUT = ", sent into the cut";

    private static final int CANDIDATES = 2;
    private static final int CUTS = 3;
    private static final int MIN_CALM_MILLIS = 9_000;
    private static final int MAX_START_MILLIS = 300;
    private static final int MAX_CUT_MILLIS = 12_000;
    private static final int MAX_CUT_OFFSET_MILLIS = 4_000;
    private static final int MAX_NOTICE_MILLIS = 30;
    private static final Duration COUNT_INTERVAL = Duration.ofMillis(250);

    /** The time after which a request is counted in the window of its start. */
    private static final Duration COUNT_DELAY = Duration.ofMillis(3_500);

    private static final int DATAGRAM_MILLIS = 2;
    private static final int MAX_AWAY_MILLIS = 6_000;
    private static final int MAX_COPY_AGE_MILLIS = 4_000;
    private static final int MAX_DRILL_PAUSE_MILLIS = 8_000;

    /** The links that a cut affects. */
    enum Cut {
        STORE(true, false),
        CLOUD(false, true),
        BOTH(true, true);

        private final boolean mStore;
        private final boolean mCloud;

        Cut(final boolean store, final boolean cloud) {
            mStore = store;
            mCloud = cloud;
        }
    }

    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final EventLoop mLoop = mChannel.eventLoop();
    private final Random mRandom;
    private final List<Cut> mCuts;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final LeaseStore mStore = new LeaseStore(() -> mNow);
    private final Map<Long, Map<String, Long>> mReported = new TreeMap<>();
    private final Map<String, Call> mHighest = new HashMap<>();
    private final List<String> mStaleCalls = new ArrayList<>();
    private final List<String> mChangedReports = new ArrayList<>();
    private double mLostDatagrams;
    private long mCounted;
    private Daemon mHolder;
    private int mOrders;
    private int mEntryVersion;
    private Instant mReclaimedAt;
    private Duration mSlowestOrder = Duration.ZERO;

    /** A call that the cloud has received. */
    private record Call(Daemon sender, long token) {}

    /**
     * Creates daemons that are not started.
     *
     * @param daemons the number of daemons
     * @param seed the seed of all chance
     * @param cuts the kinds of cuts that are drawn from
     * @param resetsHonoured whether calls that were given up are dropped where they are held up
     */
    DutyFleet(
            final int daemons,
            final long seed,
            final List<Cut> cuts,
            final boolean resetsHonoured) {
        mRandom = new Random(seed);
        mCuts = cuts;
        mChannel.freezeTime();
        for (int index = 0; index < daemons; index++) {
            mDaemons.add(new Daemon(index, resetsHonoured));
        }
        mDaemons.forEach(daemon -> mDaemons.forEach(daemon::hear));
        mDaemons.forEach(
                daemon -> schedule(daemon.mManager::start, mRandom.nextInt(MAX_START_MILLIS)));
        schedule(this::reportCandidates, 0);
        schedule(this::countRequests, 0);
    }

    private void schedule(final Runnable task, final long delayMillis) {
        mLoop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void reportCandidates() {
        mDaemons.stream()
                .filter(daemon -> daemon.mAlive)
                .limit(CANDIDATES)
                .forEach(candidate -> mDaemons.forEach(daemon -> daemon.hear(candidate)));
        // Digests of other topics tell all daemons of the store's position.
        mStore.position()
                .ifPresent(
                        position ->
                                mDaemons.forEach(
                                        daemon -> daemon.mManager.recordStorePosition(position)));
        schedule(this::reportCandidates, REPORT_INTERVAL.toMillis());
    }

    /** Plays reclaims without a cut; returns the slowest first order after a reclaim. */
    Duration playReclaims(final int count) {
        for (int reclaim = 0; reclaim < count; reclaim++) {
            advance(MIN_CALM_MILLIS + mRandom.nextInt(1_000));
            reclaim();
        }
        advance(1_000);
        return mSlowestOrder;
    }

    /** Plays three cuts of the holder; returns the calls that came after those of a successor. */
    List<String> playCuts() {
        for (int cut = 0; cut < CUTS; cut++) {
            advance(MIN_CALM_MILLIS + mRandom.nextInt(2_000));
            schedule(this::reclaim, mRandom.nextInt(MAX_CUT_OFFSET_MILLIS));
            advance(mRandom.nextInt(MAX_CUT_OFFSET_MILLIS));
            final Daemon holder = mHolder;
            holder.cut(mCuts.get(mRandom.nextInt(mCuts.size())));
            advance(1 + mRandom.nextInt(MAX_CUT_MILLIS));
            holder.heal();
        }
        advance(2 * MAX_CUT_MILLIS);
        return mStaleCalls;
    }

    /**
     * Plays returns of the store from older copies, some of them twice in a row. The holder is
     * killed around some, and started again after a while.
     *
     * @param count the number of drills
     * @param lostDatagrams the share of the datagrams between daemons that are lost
     * @return the windows that were reported again with other counts
     */
    List<String> playDrills(final int count, final double lostDatagrams) {
        mLostDatagrams = lostDatagrams;
        advance(MIN_CALM_MILLIS);
        for (int drill = 0; drill < count; drill++) {
            advance(MIN_CALM_MILLIS + mRandom.nextInt(MAX_DRILL_PAUSE_MILLIS));
            if (mRandom.nextInt(3) == 0) {
                schedule(this::replaceHolder, mRandom.nextInt(MAX_AWAY_MILLIS));
            }
            playDrill();
            if (mRandom.nextInt(4) == 0) {
                advance(mRandom.nextInt(MAX_DRILL_PAUSE_MILLIS));
                playDrill();
            }
        }
        advance(2 * MAX_CUT_MILLIS);
        return mChangedReports;
    }

    private void playDrill() {
        final Instant copy = mNow.minusMillis(mRandom.nextInt(MAX_COPY_AGE_MILLIS));
        mStore.leave();
        advance(1 + mRandom.nextInt(MAX_AWAY_MILLIS));
        mStore.returnToCopy(copy);
    }

    /** Kills the holder; another process of its name starts some seconds later. */
    private void replaceHolder() {
        final Daemon holder = mHolder;
        holder.kill();
        schedule(
                () -> {
                    final int index = mDaemons.indexOf(holder);
                    final Daemon next = new Daemon(index, true);
                    mDaemons.set(index, next);
                    mDaemons.stream().filter(daemon -> daemon.mAlive).forEach(next::hear);
                    next.mManager.start();
                },
                1_000 + mRandom.nextInt(MAX_DRILL_PAUSE_MILLIS));
    }

    /** Plays without a disturbance. */
    void playCalm(final Duration time) {
        advance(time.toMillis());
    }

    /** Returns the windows between the first and the last reported one that were not reported. */
    long unreportedWindows() {
        final List<Long> windows = List.copyOf(mReported.keySet());
        return windows.get(windows.size() - 1) - windows.get(0) + 1 - windows.size();
    }

    int reportedWindows() {
        return mReported.size();
    }

    private void countRequests() {
        mCounted++;
        final UsageWindows windows = mDaemons.get(0).mState.usageWindows();
        final UsageCount count =
                new UsageCount(windows.windowAt(mNow.minus(COUNT_DELAY)), "clinic", mCounted);
        mDaemons.forEach(daemon -> daemon.mState.usage().mergePeerCount("callers", count));
        schedule(this::countRequests, COUNT_INTERVAL.toMillis());
    }

    private void tellOthers(final Daemon sender, final List<UsageDecision> decisions) {
        for (final Daemon receiver : mDaemons) {
            for (final UsageDecision decision : decisions) {
                if (receiver != sender && mRandom.nextDouble() >= mLostDatagrams) {
                    schedule(() -> receiver.mManager.recordPeerDecision(decision), DATAGRAM_MILLIS);
                }
            }
        }
    }

    private void receiveReport(final UsageDecision decision) {
        final Map<String, Long> before =
                mReported.putIfAbsent(decision.window(), decision.counts());
        if (before != null && !before.equals(decision.counts())) {
            mChangedReports.add(decision.window() + ": " + before + ", then " + decision.counts());
        }
    }

    int orders() {
        return mOrders;
    }

    /** Removes an endpoint, and adds another one later. */
    private void reclaim() {
        mReclaimedAt = mNow;
        mEntryVersion++;
        for (final Daemon daemon : mDaemons) {
            schedule(daemon::loseEndpoint, mRandom.nextInt(MAX_NOTICE_MILLIS));
            schedule(daemon::addEndpoint, MIN_CALM_MILLIS / 2);
        }
    }

    private void advance(final long millis) {
        final Instant end = mNow.plusMillis(millis);
        while (mNow.isBefore(end)) {
            final long next = mChannel.runScheduledPendingTasks();
            final long left = Duration.between(mNow, end).toNanos();
            final long step = next < 0 ? left : Math.min(next, left);
            mNow = mNow.plusNanos(step);
            mChannel.advanceTimeBy(step, TimeUnit.NANOSECONDS);
        }
    }

    private void receive(
            final Daemon sender,
            final String subject,
            final long token,
            final boolean sentIntoCut) {
        mHolder = sender;
        final Call highest = mHighest.get(subject);
        if (highest != null && token < highest.token() && !sender.isJustHealed()) {
            mStaleCalls.add(
                    subject
                            + " of "
                            + sender.mName
                            + " with token "
                            + token
                            + " after "
                            + highest
                            + (sentIntoCut ? SENT_INTO_CUT : ""));
        }
        if (highest == null || token >= highest.token()) {
            mHighest.put(subject, new Call(sender, token));
        }
    }

    private OrderAnswer receiveOrder(
            final Daemon sender,
            final long token,
            final CapacityOrder order,
            final boolean sentIntoCut) {
        mOrders++;
        if (mReclaimedAt != null) {
            final Duration taken = Duration.between(mReclaimedAt, mNow);
            mSlowestOrder = taken.compareTo(mSlowestOrder) > 0 ? taken : mSlowestOrder;
            mReclaimedAt = null;
        }
        receive(sender, "order", token, sentIntoCut);
        return order.reclaimable() ? OrderAnswer.NONE_AVAILABLE : OrderAnswer.ACCEPTED;
    }

    /** A daemon with its links. */
    private final class Daemon implements FencedCloudClient {
        private final String mName;
        private final HeldUpLink mStoreLink;
        private final HeldUpLink mCloudLink;
        private final Member mMember;
        private final MemberTable mMembers;
        private final ServingState mState = TestServing.state(() -> mNow);
        private final DutyLeaseManager mManager;
        private Optional<Instant> mHealedAt = Optional.empty();
        private boolean mAlive = true;

        private Daemon(final int index, final boolean resetsHonoured) {
            mName = String.format("daemon-%03d", index);
            mStoreLink = new HeldUpLink(mLoop, resetsHonoured);
            mCloudLink = new HeldUpLink(mLoop, resetsHonoured);
            final InetSocketAddress address = new InetSocketAddress("127.0.0.1", 9_000 + index);
            mMember = new Member(mName, mName, DOMAIN, address, address);
            mMembers = new MemberTable(mMember);
            mState.configuration()
                    .offer(
                            new ServingConfiguration(
                                    1,
                                    List.of(),
                                    List.of(service()),
                                    CallerLimits.INITIAL,
                                    List.of()));
            addEndpoint();
            mManager =
                    new DutyLeaseManager(
                            mLoop,
                            mState,
                            mMembers,
                            mStore.access(mStoreLink),
                            this,
                            new DutyLeaseManager.Duties(
                                    new DutyLease(mName + "@" + mNow, TERM),
                                    new UsageDecider(mState.usageWindows(), mState.usage(), mNow),
                                    new CapacityPlanner(
                                            CapacitySettings.builder()
                                                    .loadPart(1)
                                                    .reserve(2)
                                                    .surviving(0, 0)
                                                    .build()),
                                    mRandom));
            mManager.onUsageDecided(decisions -> tellOthers(this, decisions));
        }

        private void kill() {
            mAlive = false;
            mStoreLink.close();
            mCloudLink.close();
        }

        private static ServiceSpec service() {
            return new ServiceSpec(
                    SERVICE,
                    "/health",
                    100,
                    true,
                    Optional.empty(),
                    Optional.of(
                            new ScalingLimits(
                                    1, 4, Duration.ofSeconds(4), 0.2, Map.of(DOMAIN, 1.0))));
        }

        private void hear(final Daemon other) {
            mMembers.recordReport(other.mMember, MemberStatus.READY, mNow);
        }

        private void addEndpoint() {
            mState.endpoints()
                    .put(
                            EndpointEntry.builder(
                                            "e" + mEntryVersion,
                                            SERVICE,
                                            new InetSocketAddress("127.0.0.1", 8_000),
                                            DOMAIN)
                                    .reclaimable(true)
                                    .build(),
                            2L * mEntryVersion);
        }

        private void loseEndpoint() {
            mState.endpoints().remove("e" + (mEntryVersion - 1), 2L * mEntryVersion - 1, mNow);
            mManager.autoscaler().orderEndpoints();
        }

        private void cut(final Cut cut) {
            mStoreLink.setCut(cut.mStore);
            mCloudLink.setCut(cut.mCloud);
        }

        private void heal() {
            mStoreLink.setCut(false);
            mCloudLink.setCut(false);
            mHealedAt = Optional.of(mNow);
        }

        private boolean isJustHealed() {
            return mHealedAt
                    .filter(at -> Duration.between(at, mNow).compareTo(HEALED_SLACK) <= 0)
                    .isPresent();
        }

        @Override
        public CompletableFuture<Boolean> reportUsage(
                final long token, final UsageDecision decision) {
            final boolean sentIntoCut = mCloudLink.isCut();
            return mCloudLink.call(
                    () -> {
                        receive(this, "usage", token, sentIntoCut);
                        receiveReport(decision);
                        return true;
                    },
                    CLOUD_TIMEOUT);
        }

        @Override
        public CompletableFuture<OrderAnswer> order(final long token, final CapacityOrder order) {
            final boolean sentIntoCut = mCloudLink.isCut();
            return mCloudLink.call(
                    () -> receiveOrder(this, token, order, sentIntoCut), CLOUD_TIMEOUT);
        }

        @Override
        public String toString() {
            return mName;
        }
    }
}
