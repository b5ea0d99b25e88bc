package org.whinhead.gateway.peers;

import java.net.InetSocketAddress;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutStep;

/** Receives rollout messages of other daemons. */
public interface RolloutMessageListener {

    /**
     * Handles a step of the lease holder.
     *
     * @param step the step
     * @param holder the address of the lease holder
     */
    void onStep(RolloutStep step, InetSocketAddress holder);

    /**
     * Handles the evidence of a daemon.
     *
     * @param evidence the counts since the order
     */
    void onEvidence(RolloutEvidence evidence);
}
