package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Carries out one order, at the holder of the duties.
 *
 * <p>The new version first gets a small share for most of the time budget, so that a version that
 * turns bad later shows it. It gets everything only for the last moment before the decision, if the
 * requests that a bad version may get allow that: the bound on them holds for each version that is
 * turned back, and the old endpoints are still there until then. Nothing is decided before the
 * store has taken the record of it.
 */
public final class RolloutController {

    /** What is kept of the time budget for writing the decision: a second write if one is lost. */
    private static final Duration MIN_DECISION_MARGIN = Duration.ofMillis(350);

    /** The same as a part of the time budget. */
    private static final double DECISION_MARGIN_SHARE = 0.03;

    /** The last moment is at least so long: each daemon must hear of it, and move what runs. */
    private static final Duration MIN_TAKEOVER = Duration.ofMillis(500);

    /** Part of the requests that a bad version may get which the takeover spends at least. */
    private static final double TAKEOVER_REQUEST_SHARE = 0.2;

    /** Part of the time budget that the takeover lasts at most. */
    private static final double MAX_TAKEOVER_SHARE = 0.25;

    /** How much later than it is due a decision may be taken and heard. */
    private static final Duration MAX_DECISION_DELAY = Duration.ofMillis(150);

    /** The largest share of a trial: endpoints that all start at once must not get a flood. */
    private static final double MAX_CANARY_SHARE = 0.6;

    /** How long requests are on their way to a count, beside the pause between two reports. */
    private static final Duration COUNT_DELAY = Duration.ofMillis(100);

    /** The last part of the trial is not spread over less. */
    private static final double MIN_CANARY_SECONDS = 0.3;

    /** Part of the requests that a bad version may get which is kept for what is counted late. */
    private static final double RESERVE_SHARE = 0.05;

    /** Requests that are kept for that at least. */
    private static final double MIN_RESERVE_REQUESTS = 5;

    /**
     * The time within which an endpoint of the new version gets its full load for a part. A share
     * that is less than one endpoint's is given by turns: the endpoint's full load, then nothing.
     */
    private static final Duration DUTY_CYCLE = Duration.ofMillis(2_000);

    /** Part of the old endpoints' number that the new ones need to take over. */
    private static final double MIN_ENDPOINT_SHARE = 0.5;

    /** What a reported request counts where it is not sure how many there were. */
    private static final double REPORTED_WEIGHT = 0.8;

    /** Requests a second that are reckoned with where hardly any come. */
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
     * Starts or resumes an order.
     *
     * @param order the order
     * @param limits what a bad version may get
     * @param startedAt the steady time of the order, as far as it is known
     * @param now the time; later than the start if another daemon has begun
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
     * How many endpoints a service has.
     *
     * @param old usable ones of other versions than the new one
     * @param trial usable ones of the new version
     */
    public record Endpoints(int old, int canary) {}

    /**
     * What the controller wants done, and why.
     *
     * @param share the share of requests for the new version
     * @param routes the shares of routes that get another one
     * @param state the state; a final one must be recorded before it is told
     * @param oldStopsIn when the old endpoints will stop; zero while that is not near
     * @param reason why it is so, for the log
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
     * Takes what a daemon has seen.
     *
     * @param evidence its counts
     */
    public void addEvidence(final RolloutEvidence evidence) {
        if (evidence.order() == mOrder.offset()) {
            mAnalysis.addEvidence(evidence);
        }
    }

    /**
     * Takes an end that is recorded already, by this daemon or another one.
     *
     * @param state the end
     */
    public void adoptFinalState(final RolloutState state) {
        if (!state.isFinal()) {
            throw new IllegalArgumentException("no end: " + state);
        }
        mState = state;
        mShare = state == RolloutState.COMPLETED ? 1 : 0;
        mTakingOver = false;
        mReason = "recorded before";
    }

    /**
     * Decides what is to be done now.
     *
     * @param endpoints the service's endpoints
     * @param now the time
     * @return the decision; one that is final stays
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
     * Says what the decisions were based on.
     *
     * @return counts, for the log
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
     * What the decisions were based on.
     *
     * @param requests requests that reached the service since the order
     * @param exposed those that reached the new version
     * @param answers answers of the new version
     * @param bad those that failed or took far too long
     * @param evidence what speaks against the version, as a log likelihood ratio
     */
    public record Basis(long requests, long exposed, long answers, long bad, double evidence) {}

    /** Splits the trial over the routes, reckoning with what the takeover will show of each. */
    private List<RouteShare> routes(final Instant now) {
        if (mShare == 0 || mShare == 1) {
            return List.of();
        }
        final double shownMillis = takeoverDuration(now).minus(MAX_DECISION_DELAY).toMillis();
        return RouteSampleNeed.split(
                mAnalysis.sampleNeeds(),
                mShare,
                requestsPerSecond(now) * shownMillis / MILLIS_PER_SECOND);
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
            mReason = "gets no more than a bad version may get";
            return;
        }
        mTakingOver = canTakeOver(now);
        if (mTakingOver) {
            mShare = 1;
            mReason = "takes over";
        } else {
            mShare = applyDutyCycle(canaryShare(now), now);
            mReason = "on trial";
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
                    "too little shown within the time budget on " + unproven.get());
        } else if (!mTakingOver) {
            // Old endpoints stop at once, so what runs there must have moved before.
            end(RolloutState.ROLLED_BACK, "good, but no time left to take over");
        } else {
            mState = RolloutState.COMPLETED;
            mShare = 1;
            mReason = "good until the time budget's end";
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

    /** Returns the time until the decision has to be written. */
    private Duration remaining(final Instant now) {
        return Duration.between(now, mStartedAt.plus(mOrder.timeBudget()).minus(margin()));
    }

    private Duration margin() {
        final Duration part =
                Duration.ofMillis(
                        Math.round(mOrder.timeBudget().toMillis() * DECISION_MARGIN_SHARE));
        return part.compareTo(MIN_DECISION_MARGIN) > 0 ? part : MIN_DECISION_MARGIN;
    }

    /** Returns the requests a second that reach the service. */
    private double requestsPerSecond(final Instant now) {
        final double known = mAnalysis.requestsPerSecond(now);
        return Math.max(known > 0 ? known : meanRequestsPerSecond(now), MIN_REQUESTS_PER_SECOND);
    }

    /** Returns the rate since the order, by what the daemons have reported so far. */
    private double meanRequestsPerSecond(final Instant now) {
        final long millis = Math.max(Duration.between(mStartedAt, now).toMillis(), 1);
        return mAnalysis.requests() * MILLIS_PER_SECOND / millis;
    }

    /**
     * Counts the requests that have reached the new version. Daemons that were killed have
     * forgotten theirs; the trial's part of what they served before this daemon took over is
     * assumed.
     */
    private double exposedRequests(final Instant now) {
        final double before = (double) mElapsedBefore.toMillis() / mOrder.timeBudget().toMillis();
        return mAnalysis.canaryRequests() + before * unreportedShare(now) * canaryBudget(now);
    }

    /** Returns the part of the requests since the order that no daemon has reported. */
    private double unreportedShare(final Instant now) {
        final double elapsed = Duration.between(mStartedAt, now).toMillis() / MILLIS_PER_SECOND;
        final double reported = mAnalysis.requests() / (requestsPerSecond(now) * elapsed);
        return Math.min(Math.max(1 - REPORTED_WEIGHT * reported, 0), 1);
    }

    /** Returns the requests that a bad version may get until the end of the time budget. */
    private double allowedRequests(final Instant now) {
        final Duration left = Duration.between(now, mStartedAt.plus(mOrder.timeBudget()));
        final double coming = requestsPerSecond(now) * left.toMillis() / MILLIS_PER_SECOND;
        return mLimits.maxExposedRequests(mAnalysis.requests() + coming);
    }

    /** Tells whether the new version may get all that comes until the decision. */
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
        final double coming =
                requestsPerSecond(now)
                        * remaining(now).plus(MAX_DECISION_DELAY).toMillis()
                        / MILLIS_PER_SECOND;
        return exposedRequests(now) + uncountedRequests(now) + coming <= allowedRequests(now);
    }

    /** Returns how long before the decision the takeover begins. */
    private Duration takeoverDuration(final Instant now) {
        final double mostSeconds =
                MAX_TAKEOVER_SHARE * mOrder.timeBudget().toMillis() / MILLIS_PER_SECOND;
        final double seconds =
                Math.min(
                        spendableRequests(now) * TAKEOVER_REQUEST_SHARE / requestsPerSecond(now),
                        mostSeconds);
        final Duration takeover = Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
        return takeover.compareTo(MIN_TAKEOVER) > 0 ? takeover : MIN_TAKEOVER;
    }

    /** Returns the requests that the new version may get until it is decided. */
    private double spendableRequests(final Instant now) {
        final double allowed = allowedRequests(now);
        return allowed - Math.max(RESERVE_SHARE * allowed, MIN_RESERVE_REQUESTS);
    }

    /** Returns the requests that the trial may spend: what the takeover leaves. */
    private double canaryBudget(final Instant now) {
        final double takeoverMillis = takeoverDuration(now).plus(MAX_DECISION_DELAY).toMillis();
        return Math.max(
                spendableRequests(now)
                        - requestsPerSecond(now) * takeoverMillis / MILLIS_PER_SECOND,
                0);
    }

    /** Gives a share that is less than one endpoint's by turns. */
    private double applyDutyCycle(final double share, final Instant now) {
        final double one = 1.0 / mEndpoints.canary();
        if (share >= one) {
            return share;
        }
        final long into = Duration.between(mStartedAt, now).toMillis() % DUTY_CYCLE.toMillis();
        return into < share / one * DUTY_CYCLE.toMillis() ? one : 0;
    }

    /** Returns the requests to the new version that no count holds yet. */
    private double uncountedRequests(final Instant now) {
        final Duration late = mAnalysis.meanReportAge(now).plus(COUNT_DELAY);
        return requestsPerSecond(now) * mShare * late.toMillis() / MILLIS_PER_SECOND;
    }

    private double canaryShare(final Instant now) {
        final double left = canaryBudget(now) - exposedRequests(now) - uncountedRequests(now);
        final double trialSeconds =
                Math.max(
                        (remaining(now).toMillis() - takeoverDuration(now).toMillis())
                                / MILLIS_PER_SECOND,
                        MIN_CANARY_SECONDS);
        final double share = left / (requestsPerSecond(now) * trialSeconds);
        return Math.min(Math.max(share, 0), MAX_CANARY_SHARE);
    }
}
