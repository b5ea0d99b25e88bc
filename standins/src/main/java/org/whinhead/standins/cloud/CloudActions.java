package org.whinhead.standins.cloud;

import java.time.Instant;

/** Listener for the start, reclaim notice and end of VMs. */
public interface CloudActions {

    /** Handles the start of a VM. */
    void onStarted(String vm, VmOrder order);

    /** Handles the notice that a VM will be reclaimed at a time. */
    void onNotice(String vm, Instant goneBy);

    /** Handles the end of a VM and of everything that ran on it. */
    void onGone(String vm);
}
