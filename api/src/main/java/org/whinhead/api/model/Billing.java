package org.whinhead.api.model;

/** How a VM is paid for, which decides whether the cloud may take it back. */
public enum Billing {
    /** Cheap, and taken back with a few seconds of notice. */
    RECLAIMABLE(true),
    /** Dearer, and kept until it is stopped. */
    ON_DEMAND(false);

    private final boolean mMayBeReclaimed;

    Billing(final boolean mayBeReclaimed) {
        mMayBeReclaimed = mayBeReclaimed;
    }

    /** Tells whether the cloud may take the VM back. */
    public boolean isReclaimable() {
        return mMayBeReclaimed;
    }
}
