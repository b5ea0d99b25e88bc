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
    private static final Duration LEAST_MARGIN = Duration.ofMillis(350);

    /** The same as a part of the time budget. */
    private static final double MARGIN_PART = 0.03;

    /** The last moment is at least so long: each daemon must hear of it, and move what runs. */
    private static final Duration LEAST_TAKEOVER = Duration.ofMillis(500);

    /** Part of the requests that a bad version may get which the takeover spends at least. */
    private static final double TAKEOVER_PART = 0.2;

    /** Part of the time budget that the takeover lasts at most. */
    private static final double MOST_TAKEOVER_PART = 0.25;

    /** How much later than it is due a decision may be taken and heard. */
    private static final Duration DECIDED_LATE = Duration.ofMillis(150);

    /** The largest share of a trial: endpoints that all start at once must not get a flood. */
    private static final double MOST_TRIAL_SHARE = 0.6;

    /** How long requests are on their way to a count, beside the pause between two reports. */
    private static final Duration COUNTED_LATE = Duration.ofMillis(100);

    /** The last part of the trial is not spread over less. */
    private static final double LEAST_TRIAL_SECONDS = 0.3;

    /** Part of the requests that a bad version may get which is kept for what is counted late. */
    private static final double RESERVE_PART = 0.05;

    /** Requests that are kept for that at least. */
    private static final double LEAST_RESERVE = 5;

    /**
     * The time within which an endpoint of the new version gets its full load for a part. A share
     * that is less than one endpoint's is given by turns: the endpoint's full load, then nothing.
     */
    private static final Duration TURN = Duration.ofMillis(2_000);

    /** Part of the old endpoints' number that the new ones need to take over. */
    private static final double ENOUGH_ENDPOINTS = 0.5;

    /** What a reported request counts where it is not sure how many there were. */
    private static final double REPORTED_SURELY = 0.8;

    /** Requests a second that are reckoned with where hardly any come. */
    private static final double LEAST_RATE = 1;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final RolloutOrder mOrder;
    private final RolloutLimits mLimits;
    private final Instant mStartedAt;
    private final Duration mElapsedBefore;
    private final VersionJudge mJudge = new VersionJudge();
    private final LoadedAnswers mLoaded = new LoadedAnswers();
    private Endpoints mEndpoints = new Endpoints(0, 0);
    private double mShare;
    private boolean mTakesOver;
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
    public record Endpoints(int old, int trial) {}

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
    public void evidence(final RolloutEvidence evidence) {
        if (evidence.order() == mOrder.offset()) {
            mJudge.take(evidence);
        }
    }

    /**
     * Takes an end that is recorded already, by this daemon or another one.
     *
     * @param state the end
     */
    public void ended(final RolloutState state) {
        if (!state.isFinal()) {
            throw new IllegalArgumentException("no end: " + state);
        }
        mState = state;
        mShare = state == RolloutState.COMPLETED ? 1 : 0;
        mTakesOver = false;
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
        mJudge.judge(now);
        mLoaded.count(mJudge.tally().answers() - mJudge.found(), mShare, now);
        if (!mState.isFinal()) {
            next(now);
        }
        final Duration left = remaining(now);
        final Duration stopsIn = mTakesOver && !left.isNegative() ? left : Duration.ZERO;
        return new Decision(mShare, routes(now), mState, stopsIn, mReason);
    }

    /**
     * Says what the decisions were based on.
     *
     * @return counts, for the log
     */
    public Basis basis() {
        final VersionJudge.Tally tally = mJudge.tally();
        return new Basis(
                mJudge.requests(),
                mJudge.exposed(),
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
        final double shownMillis = takeover(now).minus(DECIDED_LATE).toMillis();
        return RouteNeed.split(mJudge.needs(), mShare, rate(now) * shownMillis / MILLIS_PER_SECOND);
    }

    private void next(final Instant now) {
        final Optional<String> bad = mJudge.bad();
        if (bad.isPresent()) {
            end(RolloutState.ROLLED_BACK, "bad answers on " + bad.get());
            return;
        }
        if (remaining(now).isNegative() || remaining(now).isZero()) {
            endInTime();
            return;
        }
        if (mEndpoints.trial() == 0) {
            mShare = 0;
            mReason = "no endpoint of the new version";
            return;
        }
        if (mJudge.isOldFailing()) {
            mShare = 0;
            mTakesOver = false;
            mReason = "old version fails as well, nothing can be told";
            return;
        }
        if (exposed(now) >= spendable(now)) {
            mShare = 0;
            mTakesOver = false;
            mReason = "gets no more than a bad version may get";
            return;
        }
        mTakesOver = mayTakeOver(now);
        if (mTakesOver) {
            mShare = 1;
            mReason = "takes over";
        } else {
            mShare = inTurns(trialShare(now), now);
            mReason = "on trial";
        }
    }

    private void endInTime() {
        final Optional<String> unproven = mJudge.unproven(mLoaded.part(mJudge.tally().answers()));
        if (!isEnough()) {
            end(RolloutState.ROLLED_BACK, "too few endpoints of the new version");
        } else if (mJudge.isOldFailing()) {
            end(RolloutState.ROLLED_BACK, "old version fails as well, nothing can be told");
        } else if (unproven.isPresent()) {
            end(
                    RolloutState.ROLLED_BACK,
                    "too little shown within the time budget on " + unproven.get());
        } else if (!mTakesOver) {
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
        mTakesOver = false;
        mReason = reason;
    }

    private boolean isEnough() {
        return mEndpoints.trial() > 0 && mEndpoints.trial() >= ENOUGH_ENDPOINTS * mEndpoints.old();
    }

    /** Returns the time until the decision has to be written. */
    private Duration remaining(final Instant now) {
        return Duration.between(now, mStartedAt.plus(mOrder.timeBudget()).minus(margin()));
    }

    private Duration margin() {
        final Duration part =
                Duration.ofMillis(Math.round(mOrder.timeBudget().toMillis() * MARGIN_PART));
        return part.compareTo(LEAST_MARGIN) > 0 ? part : LEAST_MARGIN;
    }

    /** Returns the requests a second that reach the service. */
    private double rate(final Instant now) {
        final double known = mJudge.requestsPerSecond(now);
        return Math.max(known > 0 ? known : meanRate(now), LEAST_RATE);
    }

    /** Returns the rate since the order, by what the daemons have reported so far. */
    private double meanRate(final Instant now) {
        final long millis = Math.max(Duration.between(mStartedAt, now).toMillis(), 1);
        return mJudge.requests() * MILLIS_PER_SECOND / millis;
    }

    /**
     * Counts the requests that have reached the new version. Daemons that were killed have
     * forgotten theirs; the trial's part of what they served before this daemon took over is
     * assumed.
     */
    private double exposed(final Instant now) {
        final double before = (double) mElapsedBefore.toMillis() / mOrder.timeBudget().toMillis();
        return mJudge.exposed() + before * forgottenPart(now) * trialBudget(now);
    }

    /** Returns the part of the requests since the order that no daemon has reported. */
    private double forgottenPart(final Instant now) {
        final double elapsed = Duration.between(mStartedAt, now).toMillis() / MILLIS_PER_SECOND;
        final double reported = mJudge.requests() / (rate(now) * elapsed);
        return Math.min(Math.max(1 - REPORTED_SURELY * reported, 0), 1);
    }

    /** Returns the requests that a bad version may get until the end of the time budget. */
    private double allowed(final Instant now) {
        final Duration left = Duration.between(now, mStartedAt.plus(mOrder.timeBudget()));
        final double coming = rate(now) * left.toMillis() / MILLIS_PER_SECOND;
        return mLimits.allowed(mJudge.requests() + coming);
    }

    /** Tells whether the new version may get all that comes until the decision. */
    private boolean mayTakeOver(final Instant now) {
        if (!isEnough() || !mJudge.isPromising()) {
            return false;
        }
        return mTakesOver || (isTakeoverDue(now) && isTakeoverAllowed(now));
    }

    private boolean isTakeoverDue(final Instant now) {
        return remaining(now).compareTo(takeover(now)) <= 0;
    }

    private boolean isTakeoverAllowed(final Instant now) {
        final double coming =
                rate(now) * remaining(now).plus(DECIDED_LATE).toMillis() / MILLIS_PER_SECOND;
        return exposed(now) + uncounted(now) + coming <= allowed(now);
    }

    /** Returns how long before the decision the takeover begins. */
    private Duration takeover(final Instant now) {
        final double mostSeconds =
                MOST_TAKEOVER_PART * mOrder.timeBudget().toMillis() / MILLIS_PER_SECOND;
        final double seconds = Math.min(spendable(now) * TAKEOVER_PART / rate(now), mostSeconds);
        final Duration takeover = Duration.ofMillis(Math.round(seconds * MILLIS_PER_SECOND));
        return takeover.compareTo(LEAST_TAKEOVER) > 0 ? takeover : LEAST_TAKEOVER;
    }

    /** Returns the requests that the new version may get until it is decided. */
    private double spendable(final Instant now) {
        final double allowed = allowed(now);
        return allowed - Math.max(RESERVE_PART * allowed, LEAST_RESERVE);
    }

    /** Returns the requests that the trial may spend: what the takeover leaves. */
    private double trialBudget(final Instant now) {
        final double takeoverMillis = takeover(now).plus(DECIDED_LATE).toMillis();
        return Math.max(spendable(now) - rate(now) * takeoverMillis / MILLIS_PER_SECOND, 0);
    }

    /** Gives a share that is less than one endpoint's by turns. */
    private double inTurns(final double share, final Instant now) {
        final double one = 1.0 / mEndpoints.trial();
        if (share >= one) {
            return share;
        }
        final long into = Duration.between(mStartedAt, now).toMillis() % TURN.toMillis();
        return into < share / one * TURN.toMillis() ? one : 0;
    }

    /** Returns the requests to the new version that no count holds yet. */
    private double uncounted(final Instant now) {
        final Duration late = mJudge.countedBefore(now).plus(COUNTED_LATE);
        return rate(now) * mShare * late.toMillis() / MILLIS_PER_SECOND;
    }

    private double trialShare(final Instant now) {
        final double left = trialBudget(now) - exposed(now) - uncounted(now);
        final double trialSeconds =
                Math.max(
                        (remaining(now).toMillis() - takeover(now).toMillis()) / MILLIS_PER_SECOND,
                        LEAST_TRIAL_SECONDS);
        final double share = left / (rate(now) * trialSeconds);
        return Math.min(Math.max(share, 0), MOST_TRIAL_SHARE);
    }
}
