package org.whinhead.gateway.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.duty.DutyLease;
import org.whinhead.serving.duty.LeaseRecord;
import org.whinhead.serving.duty.StoredLease;
import org.whinhead.serving.duty.UsageDecider;
import org.whinhead.serving.member.MemberTable;

/**
 * Acquires and renews the lease, and performs the duties of its holder.
 *
 * <p>The two daemons with the first names in order are candidates; the others neither read nor
 * write the lease, so that its cost doesn't grow with the number of daemons.
 */
public final class DutyLeaseManager {

    private static final Logger LOG = LoggerFactory.getLogger(DutyLeaseManager.class);
    private static final String LEASE_KEY = "lease";

    /** Interval of renewals and of a candidate's reads; at most a third of the lease term. */
    private static final int RENEWAL_INTERVAL_MILLIS = 1_000;

    /** Time between two ticks beyond which the second one is logged as late. */
    private static final Duration LATE_TICK = Duration.ofMillis(3L * RENEWAL_INTERVAL_MILLIS);

    /** Number of daemons that read the lease without holding it. */
    private static final int CANDIDATE_COUNT = 2;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final MetadataStore mStore;
    private final EndpointAutoscaler mAutoscaler;
    private final DutyLease mLease;
    private final UsageReporter mUsageReporter;
    private LeaseRecord mClaimedRecord;
    private Instant mClaimedAt;
    private Instant mClaimedAtTimeOfDay;
    private Instant mTickedAt;
    private boolean mCallPending;
    private boolean mClaimUnanswered;
    private boolean mStopped;

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
        mStore = store;
        mLease = duties.lease();
        mUsageReporter = new UsageReporter(state, cloud, duties.usagePlan());
        mAutoscaler =
                new EndpointAutoscaler(loop, state, cloud, duties.planner(), this::fencingToken);
    }

    /**
     * The lease and the planners of its holder's tasks.
     *
     * @param lease the state of the lease
     * @param usagePlan decides which usage windows to report
     * @param planner decides which endpoints to order
     */
    public record Duties(DutyLease lease, UsageDecider usagePlan, CapacityPlanner planner) {}

    /**
     * Returns the autoscaler that orders endpoints under the lease.
     *
     * @return the autoscaler
     */
    public EndpointAutoscaler autoscaler() {
        return mAutoscaler;
    }

    /** Starts to read, claim and renew the lease. */
    public void start() {
        mLoop.scheduleWithFixedDelay(
                () -> GuardedTask.run(LOG, "duties", this::tick),
                RENEWAL_INTERVAL_MILLIS,
                RENEWAL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Releases the lease, so that another daemon need not wait for it to expire. */
    public void stop() {
        mStopped = true;
        if (mLease.isHeld()) {
            final LeaseRecord release = mLease.releaseRecord();
            mLease.recordLost();
            mStore.appendAt(
                            StoreTopic.DUTIES,
                            LEASE_KEY,
                            LeaseRecordCodec.encode(release),
                            mLease.endOffset())
                    .whenComplete(
                            (end, failure) ->
                                    LOG.atInfo()
                                            .addKeyValue("token", release.token())
                                            .addKeyValue("failure", String.valueOf(failure))
                                            .log("lease released"));
        }
    }

    private void tick() {
        logIfLate(mState.clock().instant());
        // Every daemon records the demand: one that takes the lease just after most endpoints were
        // lost would otherwise see only the few requests that are still served.
        mAutoscaler.recordDemand();
        if (mCallPending || mStopped) {
            return;
        }
        if (mLease.isHeld()) {
            claim();
        } else if (mMembers.rank(mState.clock().instant()) < CANDIDATE_COUNT) {
            readLease();
        }
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

    private void readLease() {
        mCallPending = true;
        final Instant readAt = mState.clock().instant();
        mStore.newest(StoreTopic.DUTIES)
                .whenComplete(
                        (page, failure) -> {
                            mCallPending = false;
                            if (failure == null) {
                                GuardedTask.run(
                                        LOG, "lease read", () -> handleLeaseRead(page, readAt));
                            } else {
                                LOG.atWarn()
                                        .addKeyValue("cause", String.valueOf(failure.getMessage()))
                                        .log("lease not read");
                            }
                        });
    }

    private void handleLeaseRead(final StorePage page, final Instant readAt) {
        final Optional<LeaseRecord> record;
        try {
            record = decodeLease(page);
        } catch (InvalidProtocolBufferException e) {
            LOG.error("lease record not readable, lease not claimed", e);
            return;
        }
        mLease.recordRead(new StoredLease(record, page.end()), readAt);
        if (mLease.canClaim(mState.clock().instant()) && !mStopped) {
            claim();
        }
    }

    private static Optional<LeaseRecord> decodeLease(final StorePage page)
            throws InvalidProtocolBufferException {
        for (final StoreRecord record : page.records()) {
            if (record.key().equals(LEASE_KEY) && record.value().isPresent()) {
                return Optional.of(LeaseRecordCodec.decode(record.value().get()));
            }
        }
        return Optional.empty();
    }

    private void claim() {
        final boolean renewal = mLease.isHeld();
        final Instant timeOfDay = mState.timeOfDay().instant();
        mClaimedRecord = mLease.claimRecord(mUsageReporter.decide(mLease.decisions()));
        mClaimedAt = mState.clock().instant();
        mClaimedAtTimeOfDay = timeOfDay;
        final byte[] encoded = LeaseRecordCodec.encode(mClaimedRecord);
        mCallPending = true;
        mStore.appendAt(StoreTopic.DUTIES, LEASE_KEY, encoded, mLease.endOffset())
                .whenComplete(
                        (end, failure) -> {
                            mCallPending = false;
                            GuardedTask.run(
                                    LOG,
                                    "lease claim result",
                                    () -> handleClaimResult(renewal, end, failure));
                        });
    }

    private void handleClaimResult(
            final boolean renewal, final OptionalLong end, final Throwable failure) {
        if (failure != null) {
            handleUnansweredClaim(failure);
        } else if (end.isEmpty()) {
            handleRefusedClaim(renewal);
        } else {
            mClaimUnanswered = false;
            if (!renewal) {
                LOG.atInfo().addKeyValue("token", mClaimedRecord.token()).log("lease taken");
            }
            handleGranted(end.getAsLong());
        }
    }

    /**
     * Gives the lease up. If this daemon held it, or if a claim before was not answered, the lease
     * is read at once: the store may have appended that claim, or may have returned from a copy
     * without the lease. Waiting for two more renewals would delay the usage reports and the orders
     * of a holder that nobody has replaced.
     */
    private void handleRefusedClaim(final boolean renewal) {
        mLease.recordLost();
        if (mClaimUnanswered || renewal) {
            LOG.atInfo()
                    .addKeyValue("renewal", renewal)
                    .addKeyValue("earlierClaimUnanswered", mClaimUnanswered)
                    .log("lease claim refused, reading the lease");
            mClaimUnanswered = false;
            readLease();
        } else {
            LOG.info("lease is held by another daemon");
        }
    }

    /**
     * Continues under the last renewal while it is valid: nobody else takes the lease before its
     * term has passed, and until then nobody else would order replacements of lost endpoints.
     */
    private void handleUnansweredClaim(final Throwable failure) {
        mClaimUnanswered = true;
        final boolean stillHeld = fencingToken().isPresent();
        if (!stillHeld) {
            mLease.recordLost();
        }
        LOG.atWarn()
                .addKeyValue("token", mClaimedRecord.token())
                .addKeyValue("cause", String.valueOf(failure.getMessage()))
                .addKeyValue("stillHeld", stillHeld)
                .log("lease claim not answered");
        mAutoscaler.orderEndpoints();
    }

    private void handleGranted(final long end) {
        mLease.recordGranted(mClaimedRecord, end, mClaimedAt, mClaimedAtTimeOfDay);
        performDuties();
    }

    private void performDuties() {
        mUsageReporter.reportUndelivered(mLease.decisions(), this::fencingToken);
        mAutoscaler.orderEndpoints();
    }

    /**
     * Returns the fencing token while this daemon may act as the lease holder.
     *
     * @return the fencing token, or empty
     */
    public Optional<Long> fencingToken() {
        return mLease.fencingToken(mState.clock().instant(), mState.timeOfDay().instant());
    }
}
