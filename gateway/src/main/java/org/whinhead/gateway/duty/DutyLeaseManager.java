package org.whinhead.gateway.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.duty.DutyLease;
import org.whinhead.serving.duty.LeaseRecord;
import org.whinhead.serving.duty.StoredLease;
import org.whinhead.serving.duty.UsageDecider;
import org.whinhead.serving.duty.UsageDecision;
import org.whinhead.serving.member.MemberTable;

/**
 * Keeps or awaits the lease, and acts while it is held.
 *
 * <p>The two daemons whose names come first watch the lease for all; the others neither read nor
 * write it, so that its cost doesn't grow with the number of daemons.
 */
public final class DutyLeaseManager {

    private static final Logger LOG = LoggerFactory.getLogger(DutyLeaseManager.class);
    private static final String LEASE_KEY = "lease";

    /** The pace of renewals, and of a candidate's reads; a third of the lease at most. */
    private static final int RENEWAL_INTERVAL_MILLIS = 1_000;

    /** Daemons that watch the lease without holding it. */
    private static final int CANDIDATE_COUNT = 2;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final MetadataStore mStore;
    private final FencedCloudClient mCloud;
    private final EndpointAutoscaler mAutoscaler;
    private final DutyLease mLease;
    private final UsageDecider mUsagePlan;
    private final Set<Long> mDeliveredWindows = new HashSet<>();
    private LeaseRecord mClaimedRecord;
    private Instant mClaimedAt;
    private Instant mClaimedAtTimeOfDay;
    private boolean mCallPending;
    private boolean mStopped;

    /**
     * Makes a holder that holds nothing.
     *
     * @param loop where everything runs
     * @param state the decision objects
     * @param members the daemons
     * @param store where the lease is kept
     * @param cloud takes reports and orders
     * @param duties the lease and the plans of its holder
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
        mCloud = cloud;
        mLease = duties.lease();
        mUsagePlan = duties.usagePlan();
        mAutoscaler =
                new EndpointAutoscaler(loop, state, cloud, duties.planner(), this::fencingToken);
    }

    /**
     * The decision objects of the duties.
     *
     * @param lease the lease
     * @param usagePlan which windows are reported
     * @param planner which endpoints are ordered
     */
    public record Duties(DutyLease lease, UsageDecider usagePlan, CapacityPlanner planner) {}

    /**
     * Returns the duty that orders endpoints under the lease.
     *
     * @return the duty
     */
    public EndpointAutoscaler autoscaler() {
        return mAutoscaler;
    }

    /** Starts to watch the lease. */
    public void start() {
        mLoop.scheduleWithFixedDelay(
                this::tick,
                RENEWAL_INTERVAL_MILLIS,
                RENEWAL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Gives the lease up, so that another daemon need not wait for it to run out. */
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
                                            .log("lease given up"));
        }
    }

    private void tick() {
        // Every daemon meters the demand: one that takes the lease over a fleet that was just lost
        // would otherwise judge it by the few requests that are still served.
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

    private void readLease() {
        mCallPending = true;
        final Instant steady = mState.clock().instant();
        mStore.newest(StoreTopic.DUTIES)
                .whenComplete(
                        (page, failure) -> {
                            mCallPending = false;
                            if (failure == null) {
                                handleLeaseRead(page, steady);
                            }
                        });
    }

    private void handleLeaseRead(final StorePage page, final Instant steady) {
        final Optional<LeaseRecord> record;
        try {
            record = decodeLease(page);
        } catch (InvalidProtocolBufferException e) {
            LOG.error("lease not understood, no duty is done", e);
            return;
        }
        mLease.recordRead(new StoredLease(record, page.end()), steady);
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
        mCallPending = true;
        final boolean renewal = mLease.isHeld();
        final Instant timeOfDay = mState.timeOfDay().instant();
        final List<UsageDecision> decisions =
                mUsagePlan.decide(markDelivered(mLease.decisions()), mState.usageClock().instant());
        mClaimedRecord = mLease.claimRecord(decisions);
        mClaimedAt = mState.clock().instant();
        mClaimedAtTimeOfDay = timeOfDay;
        mStore.appendAt(
                        StoreTopic.DUTIES,
                        LEASE_KEY,
                        LeaseRecordCodec.encode(mClaimedRecord),
                        mLease.endOffset())
                .whenComplete(
                        (end, failure) -> {
                            mCallPending = false;
                            handleClaimResult(renewal, end, failure);
                        });
    }

    private List<UsageDecision> markDelivered(final List<UsageDecision> decisions) {
        final List<UsageDecision> marked = new ArrayList<>();
        for (final UsageDecision decision : decisions) {
            marked.add(
                    mDeliveredWindows.contains(decision.window())
                            ? decision.asDelivered()
                            : decision);
        }
        return marked;
    }

    private void handleClaimResult(
            final boolean renewal, final OptionalLong end, final Throwable failure) {
        if (failure != null) {
            handleUnansweredClaim(failure);
        } else if (end.isEmpty()) {
            mLease.recordLost();
            LOG.info("lease belongs to another daemon");
        } else {
            if (!renewal) {
                LOG.atInfo().addKeyValue("token", mClaimedRecord.token()).log("lease taken");
            }
            handleGranted(end.getAsLong());
        }
    }

    /**
     * Goes on under the last renewal, as long as that holds. The store may turn away the holder
     * just as its endpoints are reclaimed; a holder that gave up at the first refusal left nobody
     * to order others until its successor's wait was over, 3.4 s later. It stays safe: nobody else
     * takes the lease before its term has passed since the last record. The claim may have landed
     * all the same; then the next one finds another end of the store.
     */
    private void handleUnansweredClaim(final Throwable failure) {
        final boolean stillHeld = fencingToken().isPresent();
        if (!stillHeld) {
            mLease.recordLost();
        }
        LOG.atWarn()
                .addKeyValue("token", mClaimedRecord.token())
                .addKeyValue("cause", String.valueOf(failure.getMessage()))
                .addKeyValue("stillHeld", stillHeld)
                .log("claim of the lease not answered");
        mAutoscaler.orderEndpoints();
    }

    private void handleGranted(final long end) {
        mLease.recordGranted(mClaimedRecord, end, mClaimedAt, mClaimedAtTimeOfDay);
        performDuties();
    }

    private void performDuties() {
        for (final UsageDecision decision : mLease.decisions()) {
            if (!decision.delivered() && !mDeliveredWindows.contains(decision.window())) {
                fencingToken().ifPresent(token -> reportUsage(token, decision));
            }
        }
        mAutoscaler.orderEndpoints();
    }

    /**
     * Tells whether this daemon may act as the holder of the duties now.
     *
     * @return the fencing token to act with, if it may
     */
    public Optional<Long> fencingToken() {
        return mLease.fencingToken(mState.clock().instant(), mState.timeOfDay().instant());
    }

    private void reportUsage(final long token, final UsageDecision decision) {
        mCloud.reportUsage(token, decision)
                .whenComplete(
                        (taken, failure) -> {
                            if (failure == null && taken) {
                                mDeliveredWindows.add(decision.window());
                            }
                            LOG.atInfo()
                                    .addKeyValue("window", decision.window())
                                    .addKeyValue("counts", decision.counts())
                                    .addKeyValue("token", token)
                                    .addKeyValue("taken", taken)
                                    .addKeyValue("failure", String.valueOf(failure))
                                    .log("usage reported");
                        });
    }
}
