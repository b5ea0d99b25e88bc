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
 * A daemon's part in roll-outs: it follows the holder's steps, tells it what it sees, and decides
 * itself while it is the holder.
 */
public final class RolloutParticipant implements RolloutMessageListener {

    private static final Logger LOG = LoggerFactory.getLogger(RolloutParticipant.class);

    /** The least pause between two reports of a daemon to the holder. */
    private static final Duration MIN_EVIDENCE_INTERVAL = Duration.ofMillis(300);

    /** What each daemon adds to it, so that the holder gets 500 of them a second at most. */
    private static final Duration EVIDENCE_INTERVAL_PER_DAEMON = Duration.ofMillis(2);

    /** The same while the new version takes over, which is decided within some 0.8 s. */
    private static final Duration TAKEOVER_EVIDENCE_INTERVAL = Duration.ofMillis(150);

    /** The pause between two reads of the store while it is not known what became of an order. */
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
     * Makes a duty that knows no order.
     *
     * @param state the decision objects
     * @param members the daemons
     * @param peers reaches the other daemons
     * @param ports the store, and how operators spell orders
     * @param limits what a bad version may get
     * @param token the fencing token, while this daemon holds the duties
     * @param moveRuns has the runs at an endpoint moved before it stops
     */
    public RolloutParticipant(
            final ServingState state,
            final MemberTable members,
            final PeerDatagramChannel peers,
            final Ports ports,
            final RolloutLimits limits,
            final Supplier<Optional<Long>> token,
            final BiConsumer<String, Optional<Duration>> moveRuns) {
        mState = state;
        mMembers = members;
        mPeers = peers;
        mStore = new RolloutStore(ports.store(), ports.codec());
        mFencingToken = token;
        mMoveRuns = moveRuns;
        mCoordinator = new RolloutCoordinator(state, limits, mStore, this::broadcastStep);
    }

    /**
     * What the adapter of the platform supplies.
     *
     * @param store the store
     * @param protocol how operators spell orders
     */
    public record Ports(MetadataStore store, OperatorRolloutCodec codec) {}

    /**
     * Takes an order that may have been decided before this daemon read it.
     *
     * @param order the order
     */
    public void recordEarlierOrder(final RolloutOrder order) {
        mUncertainServices.add(order.service());
    }

    /** Does what is due; to be called some times a second. */
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
     * Suspects that an order has ended unheard: a completed one stops all old endpoints at once,
     * and requests would be refused here though the new ones serve.
     */
    private void checkForMissedEnd(final RolloutOrder order) {
        final List<EndpointEntry> usable = mState.endpoints().usable(order.service());
        final boolean onlyNew =
                !usable.isEmpty()
                        && usable.stream()
                                .allMatch(entry -> entry.version().equals(order.version()));
        if (onlyNew) {
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
                                        .log("records of roll-outs not read");
                            }
                        });
    }

    private void applyRecord(final RolloutRecord record) {
        mState.rollouts().applyRecord(record);
    }

    private void reportEvidence(final boolean isHolder, final Instant now) {
        final String self = mMembers.self().incarnation();
        final List<RolloutEvidence> all = mState.rollouts().collectEvidence(self);
        if (isHolder) {
            all.forEach(mCoordinator::addEvidence);
            return;
        }
        final long bad = all.stream().mapToLong(RolloutEvidence::canaryFailures).sum();
        if (mHolderAddress.isEmpty()
                || (now.isBefore(mNextEvidenceAt) && bad == mReportedFailures)) {
            return;
        }
        mReportedFailures = bad;
        mNextEvidenceAt =
                now.plus(mTakeoverRunning ? TAKEOVER_EVIDENCE_INTERVAL : evidenceInterval());
        all.forEach(evidence -> mPeers.sendRolloutEvidence(evidence, mHolderAddress.get()));
    }

    private Duration evidenceInterval() {
        final Duration grown = EVIDENCE_INTERVAL_PER_DAEMON.multipliedBy(mMembers.knownCount());
        return grown.compareTo(MIN_EVIDENCE_INTERVAL) > 0 ? grown : MIN_EVIDENCE_INTERVAL;
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

    /** Has the runs at old endpoints moved: those stop without waiting for what they work on. */
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
