package org.whinhead.api.model;

/** The life of a VM as a daemon sees it. */
public enum VmState {
    /** Serving, and open to new work. */
    LIVE(true, true),
    /** Silent for a while: gets no new work, but work on it is not given up yet. */
    SUSPECT(false, true),
    /** Announced to stop: gets no new work, and work on it moves away. */
    LEAVING(false, true),
    /** Stopped or taken back: work on it is lost. */
    GONE(false, false);

    private final boolean mAcceptsNewWork;
    private final boolean mMayStillAnswer;

    VmState(final boolean acceptsNewWork, final boolean mayStillAnswer) {
        mAcceptsNewWork = acceptsNewWork;
        mMayStillAnswer = mayStillAnswer;
    }

    /** Tells whether new requests may go to the VM. */
    public boolean acceptsNewWork() {
        return mAcceptsNewWork;
    }

    /** Tells whether requests in progress on the VM may still finish there. */
    public boolean canStillAnswer() {
        return mMayStillAnswer;
    }
}
