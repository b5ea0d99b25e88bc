package org.whinhead.standins.cloud;

import java.time.Instant;

/** What happens to VMs, for those who run the stand-ins on them; on a thread of its own. */
public interface CloudActions {

    /**
     * A VM has started.
     *
     * @param vm its identity
     * @param order what was ordered
     */
    void onStarted(String vm, VmOrder order);

    /**
     * A VM will be taken back.
     *
     * @param vm its identity
     * @param goneBy when
     */
    void onNotice(String vm, Instant goneBy);

    /**
     * A VM is gone, and so is all that ran on it.
     *
     * @param vm its identity
     */
    void onGone(String vm);
}
