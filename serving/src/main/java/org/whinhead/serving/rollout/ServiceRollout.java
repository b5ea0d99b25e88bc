package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import org.whinhead.serving.endpoint.EndpointEntry;

/** A service's roll-out at one daemon: selects endpoints and counts the outcomes. */
final class ServiceRollout {

    /**
     * The time for which a step is valid unless the holder sends another one. A holder that is
     * killed, paused or cut off can't roll a bad version back, so each daemon does it alone:
     * without further steps the new version receives no requests. Three heartbeats of the holder
     * may be lost before that.
     */
    static final Duration STEP_LIFETIME = Duration.ofMillis(1_500);

    /** The steps after which the canary moves to other endpoints: about two seconds' worth. */
    private static final long STEPS_PER_ROTATION = 10;

    /** The share from which the new version may serve if no old endpoint is left. */
    private static final double MIN_TAKEOVER_SHARE = 0.5;

    /** The tolerance for rounding a share of the endpoints to a whole number of them. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** The factor that spreads the hashes of ids that differ in few characters. */
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

    /** Applies a step of the holder; a step that is older than the current one is ignored. */
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

    /** Applies the state of the order that the store holds. */
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

    /** Returns a route's share of the requests, by default the common one. */
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
     * Returns the endpoints that may receive a request.
     *
     * @param usable the service's endpoints
     * @param route the request's route
     * @param draw a number from 0 to 1 that is uniformly distributed over requests
     * @param now the current time
     */
    List<EndpointEntry> candidates(
            final List<EndpointEntry> usable,
            final String route,
            final double draw,
            final Instant now) {
        final double share = share(now);
        final List<EndpointEntry> canary = usable.stream().filter(this::isNew).toList();
        final List<EndpointEntry> old = usable.stream().filter(entry -> !isNew(entry)).toList();
        if (draw < share(route, now) && !canary.isEmpty()) {
            return selectCanaryEndpoints(canary, share);
        }
        final boolean replaced = mState == RolloutState.COMPLETED && !canary.isEmpty();
        if (replaced || (old.isEmpty() && share >= MIN_TAKEOVER_SHARE)) {
            return canary;
        }
        return old;
    }

    /**
     * Returns whether a version may serve: the new one while it has a share, any other one unless
     * the new one has replaced it.
     *
     * @param version the version
     * @param usable the service's endpoints
     * @param now the current time
     */
    boolean mayServe(final String version, final List<EndpointEntry> usable, final Instant now) {
        if (version.equals(mOrder.version())) {
            return share(now) > 0;
        }
        return mState != RolloutState.COMPLETED || usable.stream().noneMatch(this::isNew);
    }

    /**
     * Selects as many endpoints of the new version as correspond to the share, the same ones at
     * every daemon. Each of them then receives an endpoint's full load, so that a version that is
     * bad only under load shows it even while the new version receives a tenth of the traffic.
     */
    private List<EndpointEntry> selectCanaryEndpoints(
            final List<EndpointEntry> canary, final double share) {
        final int count = (int) Math.max(canary.size() * share + ROUNDING_TOLERANCE, 1);
        if (count >= canary.size()) {
            return canary;
        }
        final long rotation = mStep == null ? 0 : mStep.sequence() / STEPS_PER_ROTATION;
        final Comparator<EndpointEntry> byRotation =
                Comparator.comparingInt(
                        entry -> (entry.id() + rotation).hashCode() * SPREAD_FACTOR);
        return canary.stream()
                .sorted(byRotation.thenComparing(EndpointEntry::id))
                .limit(count)
                .toList();
    }
}
