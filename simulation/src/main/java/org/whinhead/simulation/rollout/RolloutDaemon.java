package org.whinhead.simulation.rollout;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.rollout.RolloutAttempt;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RolloutRecord;
import org.whinhead.serving.rollout.RolloutStep;
import org.whinhead.serving.rollout.Rollouts;

/** A simulated daemon, which loses its state when it is killed. */
final class RolloutDaemon {

    private final int mNumber;
    private Rollouts mRollouts = new Rollouts(true);
    private int mStarts;
    private boolean mPartitioned;

    RolloutDaemon(final int number) {
        mNumber = number;
    }

    void setPartitioned(final boolean partitioned) {
        mPartitioned = partitioned;
    }

    boolean isPartitioned() {
        return mPartitioned;
    }

    /** Restarts the daemon, which reads the order and its record, if any, from the store. */
    void restart(final RolloutOrder order, final Optional<RolloutRecord> record) {
        mStarts++;
        mRollouts = new Rollouts(true);
        mRollouts.addOrder(order);
        record.ifPresent(mRollouts::applyRecord);
    }

    void addOrder(final RolloutOrder order) {
        mRollouts.addOrder(order);
    }

    void applyStep(final RolloutStep step, final Instant now) {
        mRollouts.applyStep(step, now);
    }

    List<EndpointEntry> candidates(
            final List<EndpointEntry> usable,
            final String route,
            final String requestId,
            final Instant now) {
        return mRollouts.candidates(
                RolloutSimulation.SERVICE, usable, route, requestId, false, now);
    }

    Optional<RolloutAttempt> startAttempt(final String route, final EndpointEntry endpoint) {
        return mRollouts.startAttempt(route, endpoint);
    }

    List<RolloutEvidence> collectEvidence() {
        return mRollouts.collectEvidence(mNumber + "-" + mStarts);
    }
}
