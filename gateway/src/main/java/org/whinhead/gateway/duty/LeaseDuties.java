package org.whinhead.gateway.duty;

import java.util.List;
import org.whinhead.serving.duty.UsageDecision;

/** The work that depends on the lease, called by its keeper. */
interface LeaseDuties {

    /**
     * Returns the decisions to write with the next claim.
     *
     * @return the known decisions and those that are due
     */
    List<UsageDecision> decide();

    /** Called when the store has appended a claim: all duties may be performed now. */
    void leaseRenewed();

    /**
     * Called when the store has rejected a renewal while the one before is valid. The store was
     * reached, so the holder is not cut off.
     *
     * @param fencingToken the fencing token
     */
    void renewalRejected(long fencingToken);

    /** Called when a claim has failed and the lease is not or no longer held. */
    void leaseExpired();
}
