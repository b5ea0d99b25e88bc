package org.whinhead.gateway.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreRejectionException;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.duty.DutyLease;
import org.whinhead.serving.duty.LeaseRecord;
import org.whinhead.serving.duty.StoredLease;
import org.whinhead.serving.duty.UsageDecider;
import org.whinhead.serving.duty.UsageDecision;
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

    /** Longest interval of renewals and of a candidate's reads; at most a third of the term. */
    private static final int RENEWAL_INTERVAL_MILLIS = 1_000;

    /**
     * The part of the interval that varies. A disturbance that keeps step with the renewals could
     * otherwise begin again and again right behind one, while the calls that it has confirmed are
     * on their way.
     */
    private static final int RENEWAL_JITTER_MILLIS = 100;

    /** Delay before an unanswered renewal is repeated; a reset comes within a millisecond. */
    private static final int REPETITION_DELAY_MILLIS = 100;

    /** Time between two ticks beyond which the second one is logged as late. */
    private static final Duration LATE_TICK = Duration.ofMillis(3L * RENEWAL_INTERVAL_MILLIS);

    /** Number of decisions that other daemons are told of with each renewal. */
    private static final int TOLD_DECISIONS = 2;

    /** Number of daemons that read the lease without holding it. */
    private static final int CANDIDATE_COUNT = 2;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final MetadataStore mStore;
    private final EndpointAutoscaler mAutoscaler;
    private final DutyLease mLease;
    private final Random mRandom;
    private final UsageReporter mUsageReporter;
    private final List<CompletableFuture<Optional<Long>>> mConfirmations = new ArrayList<>();
    private LeaseRecord mClaimedRecord;
    private Instant mClaimedAt;
    private Instant mClaimedAtTimeOfDay;
    private Consumer<List<UsageDecision>> mOnUsageDecided = decisions -> {};
    private Instant mTickedAt;
    private boolean mCallPending;
    private boolean mClaimUnanswered;
    private boolean mRepetitionScheduled;
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
        mRandom = duties.random();
        mUsageReporter = new UsageReporter(state, cloud, duties.usagePlan());
        mAutoscaler =
                new EndpointAutoscaler(
                        loop, state, cloud, duties.planner(), this::fencingToken, this::confirm);
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
        mLease.recordPosition(position, mState.clock().instant(), mState.timeOfDay().instant());
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
        recordStorePosition(page.end());
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
        mClaimedRecord =
                mLease.claimRecord(
                        mUsageReporter.decide(mLease.decisions(), this::isDecisionUnknown));
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

    /**
     * Confirms the lease by a renewal. A holder that was cut off may believe for two seconds more
     * that it holds the lease, and a call that it sends may reach the platform after the calls of
     * the next holder. A renewal that is being sent already suffices, since its answer arrives
     * after this call.
     */
    private CompletableFuture<Optional<Long>> confirm() {
        if (mStopped || fencingToken().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        final CompletableFuture<Optional<Long>> confirmation = new CompletableFuture<>();
        mConfirmations.add(confirmation);
        if (!mCallPending && !mRepetitionScheduled) {
            claim();
        }
        return confirmation;
    }

    /** Repeats an unanswered renewal for which confirmations wait, while the lease is valid. */
    private void scheduleRepetition() {
        if (mRepetitionScheduled || mConfirmations.isEmpty()) {
            return;
        }
        mRepetitionScheduled = true;
        mLoop.schedule(
                () -> {
                    mRepetitionScheduled = false;
                    if (!mCallPending && !mStopped && mLease.isHeld()) {
                        GuardedTask.run(LOG, "repeated renewal", this::claim);
                    }
                },
                REPETITION_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void completeConfirmations(final Optional<Long> fencingToken) {
        final List<CompletableFuture<Optional<Long>>> confirmations = List.copyOf(mConfirmations);
        mConfirmations.clear();
        confirmations.forEach(confirmation -> confirmation.complete(fencingToken));
    }

    private void handleClaimResult(
            final boolean renewal, final OptionalLong end, final Throwable failure) {
        if (failure != null) {
            handleFailedClaim(failure);
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
        completeConfirmations(Optional.empty());
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
     * Keeps the lease while the last renewal is valid: nobody else takes it before its term has
     * passed, and until then nobody else would order replacements of lost endpoints. A store that
     * rejects the claim was reached, so the holder acts; without an answer it only tries again.
     */
    private void handleFailedClaim(final Throwable failure) {
        mClaimUnanswered = true;
        final Optional<Long> token = fencingToken();
        LOG.atWarn()
                .addKeyValue("token", mClaimedRecord.token())
                .addKeyValue("cause", String.valueOf(failure.getMessage()))
                .addKeyValue("stillHeld", token.isPresent())
                .log("lease claim not answered");
        if (token.isEmpty()) {
            mLease.recordLost();
            completeConfirmations(Optional.empty());
            mAutoscaler.orderEndpoints();
        } else if (StoreRejectionException.isRejection(failure)) {
            completeConfirmations(token);
            mAutoscaler.orderEndpoints(token.get());
        } else {
            scheduleRepetition();
        }
    }

    private void handleGranted(final long end) {
        mLease.recordGranted(mClaimedRecord, end, mClaimedAt, mClaimedAtTimeOfDay);
        final Optional<Long> token = fencingToken();
        completeConfirmations(token);
        mOnUsageDecided.accept(newestDecisions());
        mUsageReporter.reportUndelivered(mLease.decisions(), this::fencingToken);
        token.ifPresent(mAutoscaler::orderEndpoints);
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
        return mLease.fencingToken(mState.clock().instant(), mState.timeOfDay().instant());
    }
}
