package org.whinhead.api.model;

/** Billing mode of a VM, which decides whether the cloud may reclaim the VM. */
public enum Billing {
    /** Cheaper; the cloud may reclaim the VM with a few seconds of notice. */
    RECLAIMABLE(true),
    /** More expensive; the VM runs until it is stopped. */
    ON_DEMAND(false);

    private final boolean mIsReclaimable;

    Billing(final boolean isReclaimable) {
        mIsReclaimable = isReclaimable;
    }

    /** Returns whether the cloud may reclaim the VM. */
    public boolean isReclaimable() {
        return mIsReclaimable;
    }
}
