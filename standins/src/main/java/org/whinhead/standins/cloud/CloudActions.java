package org.whinhead.standins.cloud;

import java.time.Instant;

/** What happens to VMs, for those who run the stand-ins on them; on a thread of its own. */
public interface CloudActions {

    /** A VM has started. */
    void onStarted(String vm, VmOrder order);

    /** A VM will be taken back. */
    void onNotice(String vm, Instant goneBy);

    /** A VM is gone, and so is all that ran on it. */
    void onGone(String vm);
}
