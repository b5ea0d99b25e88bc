package org.whinhead.gateway.peers;

import java.net.InetSocketAddress;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutStep;

/** Hears what other daemons say of roll-outs. */
public interface RolloutMessageListener {

    /**
     * Takes a step.
     *
     * @param step the step
     * @param holder where the daemon that sent it listens
     */
    void onStep(RolloutStep step, InetSocketAddress holder);

    /**
     * Takes what a daemon has seen.
     *
     * @param evidence its counts
     */
    void onEvidence(RolloutEvidence evidence);
}
