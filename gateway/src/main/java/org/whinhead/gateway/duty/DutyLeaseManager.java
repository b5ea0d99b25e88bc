package org.whinhead.gateway.duty;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.duty.DutyLease;
import org.whinhead.serving.duty.UsageDecider;
import org.whinhead.serving.duty.UsageDecision;
import org.whinhead.serving.member.MemberTable;

/**
 * Performs the duties of the lease's holder, and has the lease acquired and renewed.
 *
 * <p>The two daemons with the first names in order are candidates; the others neither read nor
 * write the lease, so that its cost doesn't grow with the number of daemons.
 */
public final class DutyLeaseManager {

    private static final Logger LOG = LoggerFactory.getLogger(DutyLeaseManager.class);

    /** Longest interval of renewals and of a candidate's reads; at most a third of the term. */
    private static final int RENEWAL_INTERVAL_MILLIS = 1_000;

    /**
     * The part of the interval that varies. A disturbance that keeps step with the renewals could
     * otherwise begin again and again right behind one, while the calls that it has confirmed are
     * on their way.
     */
    private static final int RENEWAL_JITTER_MILLIS = 100;

    /** Time between two ticks beyond which the second one is logged as late. */
    private static final Duration LATE_TICK = Duration.ofMillis(3L * RENEWAL_INTERVAL_MILLIS);

    /** Number of decisions that other daemons are told of with each renewal. */
    private static final int TOLD_DECISIONS = 2;

    /** Number of daemons that read the lease without holding it. */
    private static final int CANDIDATE_COUNT = 2;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final EndpointAutoscaler mAutoscaler;
    private final DutyLease mLease;
    private final Random mRandom;
    private final UsageReporter mUsageReporter;
    private final LeaseKeeper mKeeper;
    private Consumer<List<UsageDecision>> mOnUsageDecided = decisions -> {};
    private Instant mTickedAt;

    /**
     * Creates a manager that doesn't hold the lease.
     *
     * @param loop the event loop
     * @param state the usage, the endpoints and the clocks
     * @param members the known daemons
     * @param store the store of the lease
     * @param cloud receives usage reports and endpoint orders
     * @param duties the lease and the planners of its holder
     */
    public DutyLeaseManager(
            final EventLoop loop,
            final ServingState state,
            final MemberTable members,
            final MetadataStore store,
            final FencedCloudClient cloud,
            final Duties duties) {
        mLoop = loop;
        mState = state;
        mMembers = members;
        mLease = duties.lease();
        mRandom = duties.random();
        mUsageReporter = new UsageReporter(state, cloud, duties.usagePlan());
        mKeeper = new LeaseKeeper(loop, state, store, mLease, new HolderDuties());
        mAutoscaler =
                new EndpointAutoscaler(
                        loop, state, cloud, duties.planner(), this::fencingToken, mKeeper::confirm);
    }

    /**
     * The lease and the planners of its holder's tasks.
     *
     * @param lease the state of the lease
     * @param usagePlan decides which usage windows to report
     * @param planner decides which endpoints to order
     * @param random varies the interval of the renewals
     */
    public record Duties(
            DutyLease lease, UsageDecider usagePlan, CapacityPlanner planner, Random random) {}

    /**
     * Returns the autoscaler that orders endpoints under the lease.
     *
     * @return the autoscaler
     */
    public EndpointAutoscaler autoscaler() {
        return mAutoscaler;
    }

    /**
     * Sets the handler of usage decisions that the store has accepted. It is called before their
     * windows are reported, and again with each renewal, since a datagram may be lost.
     *
     * @param onUsageDecided receives the newest decisions
     */
    public void onUsageDecided(final Consumer<List<UsageDecision>> onUsageDecided) {
        mOnUsageDecided = onUsageDecided;
    }

    /**
     * Records a usage decision that the lease holder tells of.
     *
     * @param decision the decision
     */
    public void recordPeerDecision(final UsageDecision decision) {
        mLease.recordPeerDecision(decision);
    }

    /**
     * Records a position in the store, which tells whether the store has returned from an older
     * copy.
     *
     * @param position the position
     */
    public void recordStorePosition(final long position) {
        mKeeper.recordPosition(position);
    }

    /** Starts to read, claim and renew the lease. */
    public void start() {
        scheduleTick();
    }

    private void scheduleTick() {
        mLoop.schedule(
                () -> {
                    GuardedTask.run(LOG, "duties", this::tick);
                    scheduleTick();
                },
                RENEWAL_INTERVAL_MILLIS - mRandom.nextInt(RENEWAL_JITTER_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    /** Releases the lease, so that another daemon need not wait for it to expire. */
    public void stop() {
        mKeeper.release();
    }

    private void tick() {
        logIfLate(mState.clock().instant());
        // Every daemon records the demand: one that takes the lease just after most endpoints were
        // lost would otherwise see only the few requests that are still served.
        mAutoscaler.recordDemand();
        mKeeper.renewOrRead(mMembers.rank(mState.clock().instant()) < CANDIDATE_COUNT);
    }

    /** Logs a starved event loop, which delays the duties like a store without responses. */
    private void logIfLate(final Instant now) {
        if (mTickedAt != null) {
            final Duration sinceLast = Duration.between(mTickedAt, now);
            if (sinceLast.compareTo(LATE_TICK) > 0) {
                LOG.atWarn()
                        .addKeyValue("millis", sinceLast.toMillis())
                        .log("duties delayed, event loop was busy");
            }
        }
        mTickedAt = now;
    }

    /** Returns whether a window that was due some time ago may have been decided by others. */
    private boolean isDecisionUnknown(final Duration age) {
        return mLease.isDecisionUnknown(mState.clock().instant().minus(age));
    }

    private List<UsageDecision> newestDecisions() {
        final List<UsageDecision> decisions = mLease.decisions();
        return decisions.subList(Math.max(decisions.size() - TOLD_DECISIONS, 0), decisions.size());
    }

    /**
     * Returns the fencing token while this daemon may act as the lease holder.
     *
     * @return the fencing token, or empty
     */
    public Optional<Long> fencingToken() {
        return mKeeper.fencingToken();
    }

    /** What the holder does under the lease, and other daemons in preparation for it. */
    private final class HolderDuties implements LeaseDuties {

        @Override
        public List<UsageDecision> decide() {
            return mUsageReporter.decide(
                    mLease.decisions(), DutyLeaseManager.this::isDecisionUnknown);
        }

        @Override
        public void leaseRenewed() {
            mOnUsageDecided.accept(newestDecisions());
            mUsageReporter.reportUndelivered(
                    mLease.decisions(), DutyLeaseManager.this::fencingToken);
            fencingToken().ifPresent(mAutoscaler::orderEndpoints);
        }

        @Override
        public void renewalRejected(final long fencingToken) {
            mAutoscaler.orderEndpoints(fencingToken);
        }

        @Override
        public void leaseExpired() {
            mAutoscaler.orderEndpoints();
        }
    }
}
