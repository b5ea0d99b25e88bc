package org.whinhead.membership;

import java.time.Instant;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;

/** What one daemon has heard of one VM, from the list, from notices and from peers. */
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
     * Returns the state; what is announced goes before what is listed, and nothing leads back from
     * leaving or gone, so that a list that lags cannot revive the VM.
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
     * A list does not name the VM. Guards against a list that is cut short or older than the VM:
     * the VM would be given up while it serves. Two lists in a row must lack it, both newer than
     * its last sign of life, and the first of them only makes it a suspect.
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

    /** Takes in an announcement; tells whether it is news. */
    boolean recordAnnouncement(final Instant goneBy) {
        if (isGone()) {
            return false;
        }
        final boolean news = mGoneBy == null;
        if (news || goneBy.isBefore(mGoneBy)) {
            mGoneBy = goneBy;
        }
        return news;
    }

    /** Ends the VM if its announced end has passed; tells whether it ended now. */
    boolean expire(final Instant now) {
        if (isGone() || mGoneBy == null || now.isBefore(mGoneBy)) {
            return false;
        }
        mGoneSince = now;
        return true;
    }

    /** The daemon itself was heard, without anyone between. */
    void recordMessage(final Instant now) {
        mLastMessage = now;
    }

    /** Takes in an incarnation; tells whether it is news. */
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

    /** Takes in a suspicion; tells whether it is news. */
    boolean recordSuspicion(final long incarnation) {
        if (isGone() || incarnation < mIncarnation || incarnation <= mSuspectedIncarnation) {
            return false;
        }
        mIncarnation = incarnation;
        mSuspectedIncarnation = incarnation;
        return true;
    }
}
