package org.whinhead.bench.membership;

import java.time.Instant;
import java.util.SplittableRandom;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.Membership;
import org.whinhead.membership.MembershipActions;
import org.whinhead.membership.MembershipMessage;
import org.whinhead.membership.MembershipSettings;
import org.whinhead.membership.MembershipView;
import org.whinhead.peer.MembershipCodec;

/** One daemon of the simulation, which ticks irregularly if it is slow. */
final class SimulatedMember implements MembershipActions {

    private static final int TICK_MILLIS = 100;
    private static final int SLOWEST_TICK_MILLIS = 4_000;

    private final DaemonMember mMember;
    private final MembershipSimulation mSimulation;
    private final SplittableRandom mRandom;
    private final boolean mSlow;
    private final Membership mMembership;
    private Instant mNextTick;
    private VmId mAwaited;
    private Instant mAwaitedSeenAt;
    private VmState mAwaitedState;
    private boolean mEnded;

    SimulatedMember(
            final DaemonMember member,
            final MembershipSimulation simulation,
            final MembershipSettings settings,
            final boolean slow,
            final Instant now) {
        mMember = member;
        mSimulation = simulation;
        mRandom = new SplittableRandom(member.id().value().hashCode());
        mSlow = slow;
        mMembership = new Membership(settings, member, 1, mRandom, this, now);
        mNextTick = now.plusMillis(mRandom.nextInt(TICK_MILLIS));
    }

    @Override
    public void send(final DaemonAddress to, final MembershipMessage message) {
        mSimulation.post(this, to.vm(), MembershipCodec.encode(message));
    }

    @Override
    public void viewChanged(final MembershipView view) {
        if (mAwaited != null && mAwaitedSeenAt == null) {
            final boolean seen =
                    view.daemon(mAwaited)
                            .filter(member -> member.vm().state() == mAwaitedState)
                            .isPresent();
            mAwaitedSeenAt = seen ? mSimulation.now() : null;
        }
    }

    void await(final VmId vm, final VmState state) {
        mAwaited = vm;
        mAwaitedState = state;
        mAwaitedSeenAt = null;
    }

    void end() {
        mEnded = true;
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Returns when the awaited VM was first seen in the awaited state; null if not yet. */
    Instant awaitedSeenAt() {
        return mAwaitedSeenAt;
    }

    DaemonMember member() {
        return mMember;
    }

    Membership membership() {
        return mMembership;
    }

    Instant nextTick() {
        return mNextTick;
    }

    void tick(final Instant now) {
        mMembership.tick(now);
        final int pause =
                mSlow
                        ? TICK_MILLIS + mRandom.nextInt(SLOWEST_TICK_MILLIS - TICK_MILLIS)
                        : TICK_MILLIS;
        mNextTick = now.plusMillis(pause);
    }

    /** Returns when an arriving message is read: a slow daemon reads it at its next tick. */
    Instant readsAt(final Instant arrival) {
        return mSlow && arrival.isBefore(mNextTick) ? mNextTick : arrival;
    }
}
