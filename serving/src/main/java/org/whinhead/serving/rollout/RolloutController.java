package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Carries out one roll-out order at the lease holder.
 *
 * <p>The new version first receives a small canary share for most of the time budget, so that a
 * version that turns bad late is noticed. It receives all requests only in the takeover, the last
 * moment before the decision, and only if the limit of requests to a bad version allows that: the
 * limit holds for each version that is rolled back, and the old endpoints remain until then. A
 * decision takes effect only after the store has accepted its record.
 */
public final class RolloutController {

    /** The least time that is reserved for storing the decision, twice if a write is lost. */
    private static final Duration MIN_DECISION_MARGIN = Duration.ofMillis(350);

    /** The same time as a share of the time budget; the longer one applies. */
    private static final double DECISION_MARGIN_SHARE = 0.03;

    /** The shortest takeover: each daemon must learn of it and move its running requests. */
    private static final Duration MIN_TAKEOVER = Duration.ofMillis(500);

    /** The share of the allowed requests that is reserved for the takeover. */
    private static final double TAKEOVER_REQUEST_SHARE = 0.2;

    /** The largest share of the time budget that the takeover lasts. */
    private static final double MAX_TAKEOVER_SHARE = 0.25;

    /** The longest delay until a due decision has been made and received by the daemons. */
    private static final Duration MAX_DECISION_DELAY = Duration.ofMillis(150);

    /** The largest canary share: endpoints that all start at once must not be flooded. */
    private static final double MAX_CANARY_SHARE = 0.6;

    /** The time from a request to its count, in addition to the interval between two reports. */
    private static final Duration COUNT_DELAY = Duration.ofMillis(100);

    /** The shortest time over which the remaining canary requests are spread. */
    private static final double MIN_CANARY_SECONDS = 0.3;

    /** The share of the allowed requests that is reserved for requests that are counted late. */
    private static final double RESERVE_SHARE = 0.05;

    /** The smallest number of requests that is reserved for that. */
    private static final double MIN_RESERVE_REQUESTS = 5;

    /**
     * The period in which an endpoint of the new version receives its full load for a part of the
     * time and then nothing, if the canary share is less than one endpoint's load.
     */
    private static final Duration DUTY_CYCLE = Duration.ofMillis(2_000);

    /** The number of new endpoints that a takeover needs, as a share of the old ones. */
    private static final double MIN_ENDPOINT_SHARE = 0.5;

    /** The weight of a reported request where the number of requests is uncertain. */
    private static final double REPORTED_WEIGHT = 0.8;

    /** The lowest assumed request rate. */
    private static final double MIN_REQUESTS_PER_SECOND = 1;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RolloutOrder mOrder;
    private final RolloutLimits mLimits;
    private final Instant mStartedAt;
    private final Duration mElapsedBefore;
    private final CanaryAnalysis mAnalysis = new CanaryAnalysis();
    private final LoadedAnswerCounter mLoadedAnswers = new LoadedAnswerCounter();
    private Endpoints mEndpoints = new Endpoints(0, 0);
    private double mShare;
    private boolean mTakingOver;
    private RolloutState mState = RolloutState.RUNNING;
    private String mReason = "";

    /**
     * Creates a controller that starts or resumes an order.
     *
     * @param order the order
     * @param limits the limit of requests to a bad version
     * @param startedAt the monotonic time of the order, as far as it is known
     * @param now the current time; later than the start if another daemon has begun
     */
    public RolloutController(
            final RolloutOrder order,
            final RolloutLimits limits,
            final Instant startedAt,
            final Instant now) {
        mOrder = Objects.requireNonNull(order, "order");
        mLimits = Objects.requireNonNull(limits, "limits");
        mStartedAt = Objects.requireNonNull(startedAt, "startedAt");
        mElapsedBefore = Duration.between(startedAt, now);
    }

    /**
     * The number of endpoints of a service.
     *
     * @param old the usable endpoints of versions other than the new one
     * @param canary the usable endpoints of the new version
     */
    public record Endpoints(int old, int canary) {}

    /**
     * A decision of the controller and its reason.
     *
     * @param share the share of requests that the new version receives, 0 to 1
     * @param routes the routes with a share of their own
     * @param state the state; a final one must be recorded before it is sent
     * @param oldStopsIn the time until the old endpoints stop; zero while that is not near
     * @param reason the reason, for the log
     */
    public record Decision(
            double share,
            List<RouteShare> routes,
            RolloutState state,
            Duration oldStopsIn,
            String reason) {}

    public RolloutOrder order() {
        return mOrder;
    }

    /**
     * Adds the counts of a daemon; those of another order are ignored.
     *
     * @param evidence the counts
     */
    public void addEvidence(final RolloutEvidence evidence) {
        if (evidence.order() == mOrder.offset()) {
            mAnalysis.addEvidence(evidence);
        }
    }

    /**
     * Adopts a final state that this daemon or another one has recorded already.
     *
     * @param state the final state
     * @throws IllegalArgumentException if the state is not final
     */
    public void adoptFinalState(final RolloutState state) {
        if (!state.isFinal()) {
            throw new IllegalArgumentException("state is not final: " + state);
        }
        mState = state;
        mShare = state == RolloutState.COMPLETED ? 1 : 0;
        mTakingOver = false;
        mReason = "final state recorded earlier";
    }

    /**
     * Decides on the share of the new version and the state of the roll-out.
     *
     * @param endpoints the service's endpoints
     * @param now the current time
     * @return the decision; a final state doesn't change any more
     */
    public Decision decide(final Endpoints endpoints, final Instant now) {
        mEndpoints = endpoints;
        mAnalysis.evaluate(now);
        mLoadedAnswers.update(
                mAnalysis.tally().answers() - mAnalysis.initialAnswers(), mShare, now);
        if (!mState.isFinal()) {
            updateRunning(now);
        }
        final Duration left = remaining(now);
        final Duration stopsIn = mTakingOver && !left.isNegative() ? left : Duration.ZERO;
        return new Decision(mShare, routes(now), mState, stopsIn, mReason);
    }

    /**
     * Returns the counts that the decisions were based on.
     *
     * @return the counts, for the log
     */
    public Basis basis() {
        final CanaryAnalysis.Tally tally = mAnalysis.tally();
        return new Basis(
                mAnalysis.requests(),
                mAnalysis.canaryRequests(),
                tally.answers(),
                tally.bad(),
                tally.evidence());
    }

    /**
     * The counts that the decisions were based on.
     *
     * @param requests the requests that reached the service since the order
     * @param exposed the requests that reached the new version
     * @param answers the evaluated answers of the new version
     * @param bad the answers that failed or took far too long
     * @param evidence the log likelihood ratio of a fault
     */
    public record Basis(long requests, long exposed, long answers, long bad, double evidence) {}

    /** Returns the routes' canary shares, less the answers that the takeover will give. */
    private List<RouteShare> routes(final Instant now) {
        if (mShare == 0 || mShare == 1) {
            return List.of();
        }
        final double takeoverMillis = takeoverDuration(now).minus(MAX_DECISION_DELAY).toMillis();
        return RouteSampleNeed.split(
                mAnalysis.sampleNeeds(),
                mShare,
                requestsPerSecond(now) * takeoverMillis / MILLIS_PER_SECOND);
    }

    private void updateRunning(final Instant now) {
        final Optional<String> bad = mAnalysis.findFault();
        if (bad.isPresent()) {
            end(RolloutState.ROLLED_BACK, "bad answers on " + bad.get());
            return;
        }
        if (remaining(now).isNegative() || remaining(now).isZero()) {
            decideAtDeadline();
            return;
        }
        if (mEndpoints.canary() == 0) {
            mShare = 0;
            mReason = "no endpoint of the new version";
            return;
        }
        if (mAnalysis.isOldFailing()) {
            mShare = 0;
            mTakingOver = false;
            mReason = "old version fails as well, nothing can be told";
            return;
        }
        if (exposedRequests(now) >= spendableRequests(now)) {
            mShare = 0;
            mTakingOver = false;
            mReason = "limit of requests to a bad version reached";
            return;
        }
        mTakingOver = canTakeOver(now);
        if (mTakingOver) {
            mShare = 1;
            mReason = "new version takes over";
        } else {
            mShare = applyDutyCycle(canaryShare(now), now);
            mReason = "canary in progress";
        }
    }

    private void decideAtDeadline() {
        final Optional<String> unproven =
                mAnalysis.findUnproven(mLoadedAnswers.loadedShare(mAnalysis.tally().answers()));
        if (!hasEnoughEndpoints()) {
            end(RolloutState.ROLLED_BACK, "too few endpoints of the new version");
        } else if (mAnalysis.isOldFailing()) {
            end(RolloutState.ROLLED_BACK, "old version fails as well, nothing can be told");
        } else if (unproven.isPresent()) {
            end(
                    RolloutState.ROLLED_BACK,
                    "fault not ruled out within the time budget on " + unproven.get());
        } else if (!mTakingOver) {
            // Old endpoints stop at once, so their running requests must have moved before.
            end(RolloutState.ROLLED_BACK, "good, but no time left to take over");
        } else {
            mState = RolloutState.COMPLETED;
            mShare = 1;
            mReason = "good until the end of the time budget";
        }
    }

    private void end(final RolloutState state, final String reason) {
        mState = state;
        mShare = 0;
        mTakingOver = false;
        mReason = reason;
    }

    private boolean hasEnoughEndpoints() {
        return mEndpoints.canary() > 0
                && mEndpoints.canary() >= MIN_ENDPOINT_SHARE * mEndpoints.old();
    }

    /** Returns the time until the decision has to be stored. */
    private Duration remaining(final Instant now) {
        return Duration.between(now, mStartedAt.plus(mOrder.timeBudget()).minus(margin()));
    }

    private Duration margin() {
        final Duration proportional =
                Duration.ofMillis(
                        Math.round(mOrder.timeBudget().toMillis() * DECISION_MARGIN_SHARE));
        return proportional.compareTo(MIN_DECISION_MARGIN) > 0 ? proportional : MIN_DECISION_MARGIN;
    }

    /** Returns the requests per second that reach the service. */
    private double requestsPerSecond(final Instant now) {
        final double measured = mAnalysis.requestsPerSecond(now);
        return Math.max(
                measured > 0 ? measured : meanRequestsPerSecond(now), MIN_REQUESTS_PER_SECOND);
    }

    /** Returns the mean rate since the order, from the daemons' reports. */
    private double meanRequestsPerSecond(final Instant now) {
        final long millis = Math.max(Duration.between(mStartedAt, now).toMillis(), 1);
        return mAnalysis.requests() * MILLIS_PER_SECOND / millis;
    }

    /**
     * Returns the number of requests that have reached the new version. The counts of killed
     * daemons are lost: for the time before this daemon took over, the canary budget's share of the
     * unreported requests is assumed.
     */
    private double exposedRequests(final Instant now) {
        final double before = (double) mElapsedBefore.toMillis() / mOrder.timeBudget().toMillis();
        return mAnalysis.canaryRequests() + before * unreportedShare(now) * canaryBudget(now);
    }

    /** Returns the share of the requests since the order that no daemon has reported. */
    private double unreportedShare(final Instant now) {
        final double elapsed = Duration.between(mStartedAt, now).toMillis() / MILLIS_PER_SECOND;
        final double reported = mAnalysis.requests() / (requestsPerSecond(now) * elapsed);
        return Math.min(Math.max(1 - REPORTED_WEIGHT * reported, 0), 1);
    }

    /** Returns the number of requests that a bad version may receive in the time budget. */
    private double allowedRequests(final Instant now) {
        final Duration left = Duration.between(now, mStartedAt.plus(mOrder.timeBudget()));
        final double expectedRequests =
                requestsPerSecond(now) * left.toMillis() / MILLIS_PER_SECOND;
        return mLimits.maxExposedRequests(mAnalysis.requests() + expectedRequests);
    }

    /** Returns whether the new version may receive all requests until the decision. */
    private boolean canTakeOver(final Instant now) {
        if (!hasEnoughEndpoints() || !mAnalysis.isPromising()) {
            return false;
        }
        return mTakingOver || (isTakeoverDue(now) && isTakeoverAllowed(now));
    }

    private boolean isTakeoverDue(final Instant now) {
        return remaining(now).compareTo(takeoverDuration(now)) <= 0;
    }

    private boolean isTakeoverAllowed(final Instant now) {
        final double expectedRequests =
                requestsPerSecond(now)
                        * remaining(now).plus(MAX_DECISION_DELAY).toMillis()
                        / MILLIS_PER_SECOND;
        return exposedRequests(now) + uncountedRequests(now) + expectedRequests
                <= allowedRequests(now);
    }

    /** Returns the time between the start of the takeover and the decision. */
    private Duration takeoverDuration(final Instant now) {
        final double maxSeconds =
                MAX_TAKEOVER_SHARE * mOrder.timeBudget().toMillis() / MILLIS_PER_SECOND;
        final double seconds =
                Math.min(
                        spendableRequests(now) * TAKEOVER_REQUEST_SHARE / requestsPerSecond(now),
                        maxSeconds);
        final Duration takeover = Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
        return takeover.compareTo(MIN_TAKEOVER) > 0 ? takeover : MIN_TAKEOVER;
    }

    /** Returns the number of requests that the new version may receive until the decision. */
    private double spendableRequests(final Instant now) {
        final double allowed = allowedRequests(now);
        return allowed - Math.max(RESERVE_SHARE * allowed, MIN_RESERVE_REQUESTS);
    }

    /** Returns the number of requests that the canary phase may use before the takeover. */
    private double canaryBudget(final Instant now) {
        final double takeoverMillis = takeoverDuration(now).plus(MAX_DECISION_DELAY).toMillis();
        return Math.max(
                spendableRequests(now)
                        - requestsPerSecond(now) * takeoverMillis / MILLIS_PER_SECOND,
                0);
    }

    /** Returns the current share of the duty cycle if the share is below one endpoint's load. */
    private double applyDutyCycle(final double share, final Instant now) {
        final double endpointShare = 1.0 / mEndpoints.canary();
        if (share >= endpointShare) {
            return share;
        }
        final long elapsedMillis =
                Duration.between(mStartedAt, now).toMillis() % DUTY_CYCLE.toMillis();
        return elapsedMillis < share / endpointShare * DUTY_CYCLE.toMillis() ? endpointShare : 0;
    }

    /** Returns the number of requests to the new version that aren't counted yet. */
    private double uncountedRequests(final Instant now) {
        final Duration countAge = mAnalysis.meanReportAge(now).plus(COUNT_DELAY);
        return requestsPerSecond(now) * mShare * countAge.toMillis() / MILLIS_PER_SECOND;
    }

    private double canaryShare(final Instant now) {
        final double left = canaryBudget(now) - exposedRequests(now) - uncountedRequests(now);
        final double canarySeconds =
                Math.max(
                        (remaining(now).toMillis() - takeoverDuration(now).toMillis())
                                / MILLIS_PER_SECOND,
                        MIN_CANARY_SECONDS);
        final double share = left / (requestsPerSecond(now) * canarySeconds);
        return Math.min(Math.max(share, 0), MAX_CANARY_SHARE);
    }
}
