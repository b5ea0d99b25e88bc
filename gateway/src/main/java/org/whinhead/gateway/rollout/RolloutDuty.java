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
import org.whinhead.gateway.peers.PeerReports;
import org.whinhead.gateway.peers.RolloutNews;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.RolloutProtocol;
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
public final class RolloutDuty implements RolloutNews {

    private static final Logger LOG = LoggerFactory.getLogger(RolloutDuty.class);

    /** The least pause between two reports of a daemon to the holder. */
    private static final Duration LEAST_PACE = Duration.ofMillis(300);

    /** What each daemon adds to it, so that the holder gets 500 of them a second at most. */
    private static final Duration PACE_PER_DAEMON = Duration.ofMillis(2);

    /** The same while the new version takes over, which is decided within some 0.8 s. */
    private static final Duration TAKEOVER_PACE = Duration.ofMillis(150);

    /** The pause between two reads of the store while it is not known what became of an order. */
    private static final Duration READ_PACE = Duration.ofMillis(500);

    private final ServingState mState;
    private final MemberTable mMembers;
    private final PeerReports mPeers;
    private final RolloutStore mStore;
    private final RolloutHolder mHolder;
    private final Supplier<Optional<Long>> mToken;
    private final BiConsumer<String, Optional<Duration>> mMoveRuns;
    private final Set<String> mUnsure = new HashSet<>();
    private final Set<Long> mMoved = new HashSet<>();
    private Optional<InetSocketAddress> mHolderAddress = Optional.empty();
    private Instant mNextEvidence = Instant.EPOCH;
    private Instant mNextRead = Instant.EPOCH;
    private long mBadTold;
    private boolean mTakesOver;

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
    public RolloutDuty(
            final ServingState state,
            final MemberTable members,
            final PeerReports peers,
            final Ports ports,
            final RolloutLimits limits,
            final Supplier<Optional<Long>> token,
            final BiConsumer<String, Optional<Duration>> moveRuns) {
        mState = state;
        mMembers = members;
        mPeers = peers;
        mStore = new RolloutStore(ports.store(), ports.protocol());
        mToken = token;
        mMoveRuns = moveRuns;
        mHolder = new RolloutHolder(state, limits, mStore, this::tellAll);
    }

    /**
     * What the adapter of the platform supplies.
     *
     * @param store the store
     * @param protocol how operators spell orders
     */
    public record Ports(MetadataStore store, RolloutProtocol protocol) {}

    /**
     * Takes an order that may have been decided before this daemon read it.
     *
     * @param order the order
     */
    public void earlierOrder(final RolloutOrder order) {
        mUnsure.add(order.service());
    }

    /** Does what is due; to be called some times a second. */
    public void tick() {
        final List<RolloutOrder> open = mState.rollouts().openOrders();
        if (open.isEmpty() && !mHolder.isBusy()) {
            return;
        }
        final Instant now = mState.clock().instant();
        final Optional<Long> token = mToken.get();
        open.forEach(this::suspectEnd);
        if (token.isPresent()) {
            mHolder.tick(token.get(), mMembers.knownCount());
        } else {
            mHolder.lost();
            readIfUnsure(now);
        }
        tellHolder(token.isPresent(), now);
    }

    /**
     * Suspects that an order has ended unheard: a completed one stops all old endpoints at once,
     * and requests would be refused here though the new ones serve.
     */
    private void suspectEnd(final RolloutOrder order) {
        final List<EndpointEntry> usable = mState.endpoints().usable(order.service());
        final boolean onlyNew =
                !usable.isEmpty()
                        && usable.stream()
                                .allMatch(entry -> entry.version().equals(order.version()));
        if (onlyNew) {
            mUnsure.add(order.service());
        }
    }

    private void readIfUnsure(final Instant now) {
        if (mUnsure.isEmpty() || now.isBefore(mNextRead)) {
            return;
        }
        mNextRead = now.plus(READ_PACE);
        mStore.read()
                .whenComplete(
                        (records, failure) -> {
                            if (failure == null) {
                                records.values().forEach(this::recorded);
                                mUnsure.clear();
                            } else {
                                LOG.atWarn()
                                        .addKeyValue("cause", failure.getMessage())
                                        .log("records of roll-outs not read");
                            }
                        });
    }

    private void recorded(final RolloutRecord record) {
        mState.rollouts().applyRecord(record);
    }

    private void tellHolder(final boolean isHolder, final Instant now) {
        final String self = mMembers.self().incarnation();
        final List<RolloutEvidence> all = mState.rollouts().collectEvidence(self);
        if (isHolder) {
            all.forEach(mHolder::evidence);
            return;
        }
        final long bad = all.stream().mapToLong(RolloutEvidence::canaryFailures).sum();
        if (mHolderAddress.isEmpty() || (now.isBefore(mNextEvidence) && bad == mBadTold)) {
            return;
        }
        mBadTold = bad;
        mNextEvidence = now.plus(mTakesOver ? TAKEOVER_PACE : pace());
        all.forEach(evidence -> mPeers.sendEvidence(evidence, mHolderAddress.get()));
    }

    private Duration pace() {
        final Duration grown = PACE_PER_DAEMON.multipliedBy(mMembers.knownCount());
        return grown.compareTo(LEAST_PACE) > 0 ? grown : LEAST_PACE;
    }

    private void tellAll(final RolloutStep step) {
        mPeers.sendStep(step);
        follow(step);
    }

    @Override
    public void step(final RolloutStep step, final InetSocketAddress holder) {
        mHolderAddress = Optional.of(holder);
        follow(step);
    }

    private void follow(final RolloutStep step) {
        mState.rollouts().applyStep(step, mState.clock().instant());
        mTakesOver = !step.oldStopsIn().isZero();
        if (!step.oldStopsIn().isZero() && mMoved.add(step.order())) {
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
    public void evidence(final RolloutEvidence evidence) {
        mHolder.evidence(evidence);
    }
}
