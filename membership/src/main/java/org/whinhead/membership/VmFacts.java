package org.whinhead.membership;

import java.time.Instant;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/** The facts that one daemon knows about one VM, from VM lists, leaving notices and peers. */
final class VmFacts {

    private static final long NOT_SUSPECTED = -1;

    private final VmId mVm;
    private final Instant mFirstKnown;
    private Instant mGoneBy;
    private Instant mGoneSince;
    private Instant mMissingAsOf;
    private Instant mLastMessage;
    private boolean mListed;
    private boolean mListedLeaving;
    private long mIncarnation;
    private long mSuspectedIncarnation = NOT_SUSPECTED;

    VmFacts(final VmId vm, final Instant now) {
        mVm = vm;
        mFirstKnown = now;
    }

    VmId vm() {
        return mVm;
    }

    /**
     * Returns the VM's state. A leaving notice takes precedence over VM lists, and a VM never
     * returns from leaving or gone, so that a list that lags behind cannot revive it.
     */
    VmState state() {
        if (mGoneSince != null) {
            return VmState.GONE;
        }
        if (isAnnounced() || mListedLeaving) {
            return VmState.LEAVING;
        }
        return isSuspected() || mMissingAsOf != null ? VmState.SUSPECT : VmState.LIVE;
    }

    boolean isAnnounced() {
        return mGoneBy != null;
    }

    boolean isGone() {
        return mGoneSince != null;
    }

    boolean isSuspected() {
        return mSuspectedIncarnation != NOT_SUSPECTED;
    }

    Instant goneBy() {
        return mGoneBy;
    }

    Instant goneSince() {
        return mGoneSince;
    }

    long incarnation() {
        return mIncarnation;
    }

    long suspectedIncarnation() {
        return mSuspectedIncarnation;
    }

    boolean hasMessageSince(final Instant time) {
        return mLastMessage != null && mLastMessage.isAfter(time);
    }

    void recordListed(final boolean leaving) {
        mListed = true;
        mListedLeaving |= leaving;
        mMissingAsOf = null;
    }

    /**
     * Records that a VM list does not contain the VM. A list may be truncated or older than the VM,
     * and the VM must not be given up while it serves. Therefore the first such list makes the VM
     * only suspect; two such lists in a row, both newer than its last message, make it gone. A
     * leaving VM is gone after the first.
     */
    void recordMissing(final Instant asOf, final Instant now) {
        final boolean newerThanVm = mListed || asOf.isAfter(mFirstKnown);
        if (isGone() || !newerThanVm || hasMessageSince(asOf)) {
            return;
        }
        if (mMissingAsOf != null || state() == VmState.LEAVING) {
            mGoneSince = now;
            return;
        }
        mMissingAsOf = asOf;
    }

    /** Records an announced end and returns whether the VM was not announced before. */
    boolean recordAnnouncement(final Instant goneBy) {
        if (isGone()) {
            return false;
        }
        final boolean isNew = mGoneBy == null;
        if (isNew || goneBy.isBefore(mGoneBy)) {
            mGoneBy = goneBy;
        }
        return isNew;
    }

    /** Marks the VM as gone if its announced end has passed; returns whether it is newly gone. */
    boolean expire(final Instant now) {
        if (isGone() || mGoneBy == null || now.isBefore(mGoneBy)) {
            return false;
        }
        mGoneSince = now;
        return true;
    }

    /** Records a message from the VM's daemon itself. */
    void recordMessage(final Instant now) {
        mLastMessage = now;
    }

    /** Records an incarnation, which ends older suspicions; returns whether it is new. */
    boolean recordAlive(final long incarnation) {
        if (isGone() || incarnation <= mIncarnation) {
            return false;
        }
        mIncarnation = incarnation;
        if (incarnation > mSuspectedIncarnation) {
            mSuspectedIncarnation = NOT_SUSPECTED;
        }
        return true;
    }

    /** Records a suspicion and returns whether it is new. */
    boolean recordSuspicion(final long incarnation) {
        if (isGone() || incarnation < mIncarnation || incarnation <= mSuspectedIncarnation) {
            return false;
        }
        mIncarnation = incarnation;
        mSuspectedIncarnation = incarnation;
        return true;
    }
}
