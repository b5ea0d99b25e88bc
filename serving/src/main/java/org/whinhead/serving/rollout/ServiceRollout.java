package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import org.whinhead.serving.endpoint.EndpointEntry;

/** One order at one daemon: which version gets a request, and what became of those that went. */
final class ServiceRollout {

    /**
     * How long a step holds without another one from the holder. A holder that is killed, paused or
     * cut off can't take a bad version back, so each daemon does it alone: without news the new
     * version gets nothing. Three pulses of the holder may be lost before that.
     */
    static final Duration STEP_LIFETIME = Duration.ofMillis(1_500);

    /** Steps after which other endpoints get the trial's requests: about each two seconds. */
    private static final long STEPS_PER_ROTATION = 10;

    /** From this share on the new version may stand in where the old one has no endpoint left. */
    private static final double MIN_TAKEOVER_SHARE = 0.5;

    /** What makes a share of one endpoint's part one endpoint, though it is no whole number. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** Spreads the hashes of ids that differ in few characters. */
    private static final int SPREAD_FACTOR = 0x9E3779B9;

    private final RolloutOrder mOrder;
    private final OutcomeCounter mCounts = new OutcomeCounter();
    private RolloutStep mStep;
    private Instant mStepAt = Instant.EPOCH;
    private RolloutState mState = RolloutState.RUNNING;

    ServiceRollout(final RolloutOrder order) {
        mOrder = Objects.requireNonNull(order, "order");
    }

    RolloutOrder order() {
        return mOrder;
    }

    RolloutState state() {
        return mState;
    }

    OutcomeCounter counts() {
        return mCounts;
    }

    /** Takes a step of the holder; one that was overtaken on the way changes nothing. */
    void applyStep(final RolloutStep step, final Instant now) {
        if (step.order() != mOrder.offset() || (mStep != null && !step.isNewerThan(mStep))) {
            return;
        }
        mStep = step;
        mStepAt = now;
        if (step.state().isFinal()) {
            mState = step.state();
        }
    }

    /** Takes what the store says of the order. */
    void applyRecordedState(final RolloutState state) {
        if (state.isFinal()) {
            mState = state;
        }
    }

    boolean isNew(final EndpointEntry endpoint) {
        return endpoint.version().equals(mOrder.version());
    }

    private double share(final Instant now) {
        return switch (mState) {
            case COMPLETED -> 1;
            case ROLLED_BACK -> 0;
            case RUNNING -> isStepInForce(now) ? mStep.share() : 0;
        };
    }

    /** Returns a route's part of the requests; of other routes' the same part is sent. */
    private double share(final String route, final Instant now) {
        final double share = share(now);
        return mState == RolloutState.RUNNING && share > 0
                ? RouteShare.of(mStep.routes(), route, share)
                : share;
    }

    private boolean isStepInForce(final Instant now) {
        return mStep != null && !now.isAfter(mStepAt.plus(STEP_LIFETIME));
    }

    /**
     * Picks the endpoints that may get a request.
     *
     * @param usable the service's endpoints
     * @param route the request's route
     * @param draw a number from 0 to 1 that is spread evenly over requests
     * @param now the time
     */
    List<EndpointEntry> candidates(
            final List<EndpointEntry> usable,
            final String route,
            final double draw,
            final Instant now) {
        final double share = share(now);
        final List<EndpointEntry> trial = usable.stream().filter(this::isNew).toList();
        final List<EndpointEntry> old = usable.stream().filter(entry -> !isNew(entry)).toList();
        if (draw < share(route, now) && !trial.isEmpty()) {
            return selectCanaryEndpoints(trial, share);
        }
        final boolean replaced = mState == RolloutState.COMPLETED && !trial.isEmpty();
        if (replaced || (old.isEmpty() && share >= MIN_TAKEOVER_SHARE)) {
            return trial;
        }
        return old;
    }

    /**
     * Picks as many endpoints of the new version as the share is of all, the same ones at every
     * daemon: each then gets what an endpoint gets in the end, and a version that is bad under load
     * only shows it while it gets a tenth of the traffic.
     */
    private List<EndpointEntry> selectCanaryEndpoints(
            final List<EndpointEntry> trial, final double share) {
        final int count = (int) Math.max(trial.size() * share + ROUNDING_TOLERANCE, 1);
        if (count >= trial.size()) {
            return trial;
        }
        final long turn = mStep == null ? 0 : mStep.sequence() / STEPS_PER_ROTATION;
        final Comparator<EndpointEntry> byTurn =
                Comparator.comparingInt(entry -> (entry.id() + turn).hashCode() * SPREAD_FACTOR);
        return trial.stream().sorted(byTurn.thenComparing(EndpointEntry::id)).limit(count).toList();
    }
}
