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
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
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

/**
 * Daemons that compete for the lease on the duties in simulated time, each with links of its own to
 * the store and the cloud. The holder's links are cut around reclaims of endpoints; the cloud has
 * no reclaimable endpoints left, so that the holder repeats its orders.
 */
final class DutyFleet {

    private static final String SERVICE = "pool";
    private static final String DOMAIN = "domain-a";
    private static final Duration TERM = Duration.ofSeconds(3);
    private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration CLOUD_TIMEOUT = Duration.ofMillis(900);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(300);

    /** The time after the end of a cut in which late calls are allowed. */
    private static final Duration HEALED_SLACK = Duration.ofMillis(300);

    private static final int CANDIDATES = 2;
    private static final int CUTS = 3;
    private static final int MIN_CALM_MILLIS = 9_000;
    private static final int MAX_START_MILLIS = 300;
    private static final int MAX_CUT_MILLIS = 12_000;
    private static final int MAX_CUT_OFFSET_MILLIS = 4_000;
    private static final int MAX_NOTICE_MILLIS = 30;

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

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final EventLoop mLoop = mChannel.eventLoop();
    private final Random mRandom;
    private final List<Cut> mCuts;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<StoreRecord> mLog = new ArrayList<>();
    private final Map<String, Call> mHighest = new HashMap<>();
    private final List<String> mStaleCalls = new ArrayList<>();
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
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
    }

    private void schedule(final Runnable task, final long delayMillis) {
        mLoop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void reportCandidates() {
        for (final Daemon candidate : mDaemons.subList(0, CANDIDATES)) {
            mDaemons.forEach(daemon -> daemon.hear(candidate));
        }
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

    private void receive(final Daemon sender, final String subject, final long token) {
        mHolder = sender;
        final Call highest = mHighest.get(subject);
        if (highest != null && token < highest.token() && !sender.isJustHealed()) {
            mStaleCalls.add(
                    subject + " of " + sender.mName + " with token " + token + " after " + highest);
        }
        if (highest == null || token >= highest.token()) {
            mHighest.put(subject, new Call(sender, token));
        }
    }

    private OrderAnswer receiveOrder(
            final Daemon sender, final long token, final CapacityOrder order) {
        mOrders++;
        if (mReclaimedAt != null) {
            final Duration taken = Duration.between(mReclaimedAt, mNow);
            mSlowestOrder = taken.compareTo(mSlowestOrder) > 0 ? taken : mSlowestOrder;
            mReclaimedAt = null;
        }
        receive(sender, "order", token);
        return order.reclaimable() ? OrderAnswer.NONE_AVAILABLE : OrderAnswer.ACCEPTED;
    }

    /** A daemon with its links. */
    private final class Daemon implements MetadataStore, FencedCloudClient {
        private final String mName;
        private final HeldUpLink mStoreLink;
        private final HeldUpLink mCloudLink;
        private final Member mMember;
        private final MemberTable mMembers;
        private final ServingState mState = TestServing.state(() -> mNow);
        private final DutyLeaseManager mManager;
        private Optional<Instant> mHealedAt = Optional.empty();

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
                            this,
                            this,
                            new DutyLeaseManager.Duties(
                                    new DutyLease(mName, TERM),
                                    new UsageDecider(mState.usageWindows(), mState.usage(), mNow),
                                    new CapacityPlanner(
                                            CapacitySettings.builder()
                                                    .loadPart(1)
                                                    .reserve(2)
                                                    .surviving(0, 0)
                                                    .build())));
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
        public CompletableFuture<StorePage> newest(final StoreTopic topic) {
            return mStoreLink.call(
                    () ->
                            new StorePage(
                                    mLog.isEmpty()
                                            ? List.of()
                                            : mLog.subList(mLog.size() - 1, mLog.size()),
                                    mLog.size(),
                                    false),
                    STORE_TIMEOUT);
        }

        @Override
        public CompletableFuture<StorePage> read(
                final StoreTopic topic, final long from, final Duration wait) {
            throw new UnsupportedOperationException("read");
        }

        @Override
        public CompletableFuture<Long> append(
                final StoreTopic topic, final String key, final byte[] value) {
            throw new UnsupportedOperationException("append");
        }

        @Override
        public CompletableFuture<OptionalLong> appendAt(
                final StoreTopic topic, final String key, final byte[] value, final long end) {
            return mStoreLink.call(
                    () -> {
                        if (end != mLog.size()) {
                            return OptionalLong.empty();
                        }
                        mLog.add(new StoreRecord(key, Optional.of(value), end));
                        return OptionalLong.of(mLog.size());
                    },
                    STORE_TIMEOUT);
        }

        @Override
        public CompletableFuture<Boolean> reportUsage(
                final long token, final UsageDecision decision) {
            return mCloudLink.call(
                    () -> {
                        receive(this, "usage", token);
                        return true;
                    },
                    CLOUD_TIMEOUT);
        }

        @Override
        public CompletableFuture<OrderAnswer> order(final long token, final CapacityOrder order) {
            return mCloudLink.call(() -> receiveOrder(this, token, order), CLOUD_TIMEOUT);
        }

        @Override
        public String toString() {
            return mName;
        }
    }
}
