package org.whinhead.api.model;

/** Lifecycle state of a VM as seen by a daemon. */
public enum VmState {
    /** Serving and accepting new requests. */
    LIVE(true, true),
    /** Silent for a while: receives no new requests; those in progress are not given up yet. */
    SUSPECT(false, true),
    /** Announced to stop: receives no new requests; those in progress move to other VMs. */
    LEAVING(false, true),
    /** Stopped or reclaimed: its requests in progress are lost. */
    GONE(false, false);

    private final boolean mAcceptsNewWork;
    private final boolean mCanStillAnswer;

    VmState(final boolean acceptsNewWork, final boolean canStillAnswer) {
        mAcceptsNewWork = acceptsNewWork;
        mCanStillAnswer = canStillAnswer;
    }

    /** Returns whether new requests may be sent to the VM. */
    public boolean acceptsNewWork() {
        return mAcceptsNewWork;
    }

    /** Returns whether requests in progress on the VM may still finish there. */
    public boolean canStillAnswer() {
        return mCanStillAnswer;
    }
}
