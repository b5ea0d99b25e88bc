package org.whinhead.gateway.duty;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreRejectionException;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.duty.DutyLease;
import org.whinhead.serving.duty.LeaseRecord;
import org.whinhead.serving.duty.StoredLease;

/** Reads, claims, renews, confirms and releases the lease; one call to the store at a time. */
final class LeaseKeeper implements LeaseConfirmation {

    private static final Logger LOG = LoggerFactory.getLogger(LeaseKeeper.class);
    private static final String LEASE_KEY = "lease";

    /** Delay before an unanswered renewal is repeated; a reset comes within a millisecond. */
    private static final int REPETITION_DELAY_MILLIS = 100;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MetadataStore mStore;
    private final DutyLease mLease;
    private final LeaseDuties mDuties;
    private CompletableFuture<Optional<Long>> mConfirmation;
    private LeaseRecord mClaimedRecord;
    private Instant mClaimedAt;
    private Instant mClaimedAtTimeOfDay;
    private boolean mCallPending;
    private boolean mClaimUnanswered;
    private boolean mRepetitionScheduled;
    private boolean mStopped;

    /**
     * Creates a keeper of a lease that is not held.
     *
     * @param loop the event loop
     * @param state the clocks
     * @param store the store of the lease
     * @param lease the state of the lease
     * @param duties what is done under the lease
     */
    LeaseKeeper(
            final EventLoop loop,
            final ServingState state,
            final MetadataStore store,
            final DutyLease lease,
            final LeaseDuties duties) {
        mLoop = loop;
        mState = state;
        mStore = store;
        mLease = lease;
        mDuties = duties;
    }

    /**
     * Renews the lease if this daemon holds it.
     *
     * @param candidate whether it is otherwise read, and claimed once it has expired
     */
    void renewOrRead(final boolean candidate) {
        if (mCallPending || mStopped) {
            return;
        }
        if (mLease.isHeld()) {
            claim();
        } else if (candidate) {
            readLease();
        }
    }

    /** Releases the lease for good, so that another daemon need not wait for it to expire. */
    void release() {
        mStopped = true;
        if (!mCallPending) {
            appendRelease();
        }
    }

    private void appendRelease() {
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
        recordPosition(page.end());
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
        mClaimedRecord = mLease.claimRecord(mDuties.decide());
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
                            if (mStopped) {
                                appendRelease();
                            }
                        });
    }

    /**
     * Confirms the lease by a renewal. A holder that was cut off may believe for two seconds more
     * that it holds the lease, and a call that it sends may reach the platform after the calls of
     * the next holder. A renewal that is being sent already suffices, since its answer arrives
     * after this call.
     */
    @Override
    public CompletableFuture<Optional<Long>> confirm() {
        if (mStopped || fencingToken().isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        if (mConfirmation == null) {
            mConfirmation = new CompletableFuture<>();
        }
        final CompletableFuture<Optional<Long>> confirmation = mConfirmation;
        if (!mCallPending && !mRepetitionScheduled) {
            claim();
        }
        return confirmation;
    }

    /** Repeats an unanswered renewal for which a confirmation waits, while the lease is valid. */
    private void scheduleRepetition() {
        if (mRepetitionScheduled || mConfirmation == null) {
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

    private void completeConfirmation(final Optional<Long> fencingToken) {
        if (mConfirmation != null) {
            final CompletableFuture<Optional<Long>> confirmation = mConfirmation;
            mConfirmation = null;
            confirmation.complete(fencingToken);
        }
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
        completeConfirmation(Optional.empty());
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
            completeConfirmation(Optional.empty());
            mDuties.leaseExpired();
        } else if (StoreRejectionException.isRejection(failure)) {
            completeConfirmation(token);
            mDuties.renewalRejected(token.get());
        } else {
            scheduleRepetition();
        }
    }

    private void handleGranted(final long end) {
        mLease.recordGranted(mClaimedRecord, end, mClaimedAt, mClaimedAtTimeOfDay);
        completeConfirmation(fencingToken());
        mDuties.leaseRenewed();
    }

    /** Records a position in the store, which may show that it has returned from an older copy. */
    void recordPosition(final long position) {
        mLease.recordPosition(position, mState.clock().instant(), mState.timeOfDay().instant());
    }

    /** Returns the fencing token while this daemon may act as the lease holder. */
    Optional<Long> fencingToken() {
        return mLease.fencingToken(mState.clock().instant(), mState.timeOfDay().instant());
    }
}
