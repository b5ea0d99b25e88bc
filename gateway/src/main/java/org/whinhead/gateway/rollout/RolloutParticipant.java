package org.whinhead.gateway.rollout;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.peers.PeerDatagramChannel;
import org.whinhead.gateway.peers.RolloutMessageListener;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.OperatorRolloutCodec;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutLimits;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RolloutRecord;
import org.whinhead.serving.rollout.RolloutStep;

/**
 * Applies the lease holder's rollout steps, sends it this daemon's evidence, and coordinates
 * rollouts while this daemon holds the lease.
 */
public final class RolloutParticipant implements RolloutMessageListener {

    private static final Logger LOG = LoggerFactory.getLogger(RolloutParticipant.class);

    /** Minimum interval between two evidence reports to the lease holder. */
    private static final Duration MIN_EVIDENCE_INTERVAL = Duration.ofMillis(300);

    /** Interval per known daemon, so that the holder receives at most 500 reports a second. */
    private static final Duration EVIDENCE_INTERVAL_PER_DAEMON = Duration.ofMillis(2);

    /** Interval while the new version takes over, which is decided within about 0.8 s. */
    private static final Duration TAKEOVER_EVIDENCE_INTERVAL = Duration.ofMillis(150);

    /** Interval between reads of the store while the outcome of an order is unknown. */
    private static final Duration STORE_READ_INTERVAL = Duration.ofMillis(500);

    private final ServingState mState;
    private final MemberTable mMembers;
    private final PeerDatagramChannel mPeers;
    private final RolloutStore mStore;
    private final RolloutCoordinator mCoordinator;
    private final Supplier<Optional<Long>> mFencingToken;
    private final BiConsumer<String, Optional<Duration>> mMoveRuns;
    private final Set<String> mUncertainServices = new HashSet<>();
    private final Set<Long> mMovedOrders = new HashSet<>();
    private Optional<InetSocketAddress> mHolderAddress = Optional.empty();
    private Instant mNextEvidenceAt = Instant.EPOCH;
    private Instant mNextReadAt = Instant.EPOCH;
    private long mReportedFailures;
    private boolean mTakeoverRunning;

    /**
     * Creates a participant without orders.
     *
     * @param state the endpoints, the rollouts and the clocks
     * @param members the known daemons
     * @param peers sends datagrams to the other daemons
     * @param ports the store and the codec of operators' records
     * @param limits the exposure limits of a faulty version
     * @param fencingToken the fencing token while this daemon holds the lease
     * @param moveRuns moves the runs off an endpoint before it stops
     */
    public RolloutParticipant(
            final ServingState state,
            final MemberTable members,
            final PeerDatagramChannel peers,
            final Ports ports,
            final RolloutLimits limits,
            final Supplier<Optional<Long>> fencingToken,
            final BiConsumer<String, Optional<Duration>> moveRuns) {
        mState = state;
        mMembers = members;
        mPeers = peers;
        mStore = new RolloutStore(ports.store(), ports.codec());
        mFencingToken = fencingToken;
        mMoveRuns = moveRuns;
        mCoordinator = new RolloutCoordinator(state, limits, mStore, this::broadcastStep);
    }

    /**
     * The parts that the platform's adapter supplies.
     *
     * @param store the store
     * @param codec the codec of operators' records
     */
    public record Ports(MetadataStore store, OperatorRolloutCodec codec) {}

    /**
     * Records an order that may have been decided before this daemon read it.
     *
     * @param order the order
     */
    public void recordEarlierOrder(final RolloutOrder order) {
        mUncertainServices.add(order.service());
    }

    /** Performs the work that is due; called several times a second. */
    public void tick() {
        final List<RolloutOrder> open = mState.rollouts().openOrders();
        if (open.isEmpty() && !mCoordinator.hasRollouts()) {
            return;
        }
        final Instant now = mState.clock().instant();
        final Optional<Long> token = mFencingToken.get();
        open.forEach(this::checkForMissedEnd);
        if (token.isPresent()) {
            mCoordinator.tick(token.get(), mMembers.knownCount());
        } else {
            mCoordinator.reset();
            readUncertainOutcomes(now);
        }
        reportEvidence(token.isPresent(), now);
    }

    /**
     * Marks a service as uncertain if only endpoints of the new version are left: the old ones stop
     * at once on completion, and a daemon that missed it would refuse requests that the new ones
     * could serve.
     */
    private void checkForMissedEnd(final RolloutOrder order) {
        final List<EndpointEntry> usable = mState.endpoints().usable(order.service());
        final boolean onlyNewVersion =
                !usable.isEmpty()
                        && usable.stream()
                                .allMatch(entry -> entry.version().equals(order.version()));
        if (onlyNewVersion) {
            mUncertainServices.add(order.service());
        }
    }

    private void readUncertainOutcomes(final Instant now) {
        if (mUncertainServices.isEmpty() || now.isBefore(mNextReadAt)) {
            return;
        }
        mNextReadAt = now.plus(STORE_READ_INTERVAL);
        mStore.readRecords()
                .whenComplete(
                        (records, failure) -> {
                            if (failure == null) {
                                records.values().forEach(this::applyRecord);
                                mUncertainServices.clear();
                            } else {
                                LOG.atWarn()
                                        .addKeyValue("cause", failure.getMessage())
                                        .log("rollout records not read");
                            }
                        });
    }

    private void applyRecord(final RolloutRecord record) {
        mState.rollouts().applyRecord(record);
    }

    private void reportEvidence(final boolean isHolder, final Instant now) {
        final String self = mMembers.self().incarnation();
        final List<RolloutEvidence> evidenceList = mState.rollouts().collectEvidence(self);
        if (isHolder) {
            evidenceList.forEach(mCoordinator::addEvidence);
            return;
        }
        final long failures =
                evidenceList.stream().mapToLong(RolloutEvidence::canaryFailures).sum();
        if (mHolderAddress.isEmpty()
                || (now.isBefore(mNextEvidenceAt) && failures == mReportedFailures)) {
            return;
        }
        mReportedFailures = failures;
        mNextEvidenceAt =
                now.plus(mTakeoverRunning ? TAKEOVER_EVIDENCE_INTERVAL : evidenceInterval());
        evidenceList.forEach(
                evidence -> mPeers.sendRolloutEvidence(evidence, mHolderAddress.get()));
    }

    private Duration evidenceInterval() {
        final Duration interval = EVIDENCE_INTERVAL_PER_DAEMON.multipliedBy(mMembers.knownCount());
        return interval.compareTo(MIN_EVIDENCE_INTERVAL) > 0 ? interval : MIN_EVIDENCE_INTERVAL;
    }

    private void broadcastStep(final RolloutStep step) {
        mPeers.sendRolloutStep(step);
        applyStep(step);
    }

    @Override
    public void onStep(final RolloutStep step, final InetSocketAddress holder) {
        mHolderAddress = Optional.of(holder);
        applyStep(step);
    }

    private void applyStep(final RolloutStep step) {
        mState.rollouts().applyStep(step, mState.clock().instant());
        mTakeoverRunning = !step.oldStopsIn().isZero();
        if (!step.oldStopsIn().isZero() && mMovedOrders.add(step.order())) {
            moveRuns(step);
        }
    }

    /** Moves the runs off the old endpoints, which stop without completing them. */
    private void moveRuns(final RolloutStep step) {
        mState.rollouts()
                .replacedEndpoints(step.service(), mState.endpoints().usable(step.service()))
                .forEach(entry -> mMoveRuns.accept(entry.id(), Optional.of(step.oldStopsIn())));
    }

    @Override
    public void onEvidence(final RolloutEvidence evidence) {
        mCoordinator.addEvidence(evidence);
    }
}
