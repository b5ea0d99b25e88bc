package org.whinhead.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;

/**
 * A queue per model and service: strict priority between tiers, weighted fair queuing between
 * customers, and early refusal of requests that can't meet their first-token target, so that under
 * overload the capacity serves answers that are on time.
 */
public final class TieredAdmission implements Admission {

    private static final int RETRY_SPREAD_STEPS = 256;

    private final AdmissionSettings mSettings;
    private final Budget mBudget;
    private final Map<Target, TargetQueue> mQueues = new HashMap<>();
    private final Map<RequestId, QueuedRequest> mWaiting = new HashMap<>();
    private final Map<RequestId, RunningRequest> mRunning = new HashMap<>();
    private final List<ShedRequest> mShed = new ArrayList<>();
    private Map<CustomerId, Customer> mCustomers = Map.of();
    private long mSequence;
    private long mResumed;
    private long mResumedWithoutBudget;

    /**
     * Creates an admission without queued requests.
     *
     * @param settings the bounds of the queues
     * @param budget the token budgets of the teams
     */
    public TieredAdmission(final AdmissionSettings settings, final Budget budget) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mBudget = Objects.requireNonNull(budget, "budget");
    }

    /**
     * Replaces the customers, with their weights and teams.
     *
     * <p>A request of an unknown customer has weight 1 and no budget limit: the API keys of
     * requests are checked against the same settings before the requests are offered.
     *
     * @param customers all customers
     */
    public void customersChanged(final Collection<Customer> customers) {
        final Map<CustomerId, Customer> byId = new HashMap<>();
        customers.forEach(customer -> byId.put(customer.id(), customer));
        mCustomers = byId;
    }

    /**
     * Sets how many requests for a target this daemon runs concurrently.
     *
     * @param target the model or service
     * @param slots this daemon's share of the slots of all endpoints that serve the target
     */
    public void capacityChanged(final Target target, final int slots) {
        queue(target).resize(slots);
    }

    @Override
    public Optional<Refusal> offer(final RequestSpec spec, final Instant now) {
        final TargetQueue queue = queue(Target.of(spec));
        final int weight = weight(spec.customer());
        final int priority = spec.tier().priority();
        final Instant due = due(spec);
        final Duration wait = queue.expectedWait(priority, spec.customer(), weight);
        if (now.plus(wait).isAfter(due)) {
            return Optional.of(overloaded(spec, wait));
        }
        final BudgetDecision decision = reserve(spec, now);
        if (decision.kind() == BudgetDecision.Kind.REFUSED) {
            return Optional.of(budgetSpent(decision));
        }
        if (queue.waiting() >= mSettings.maxWaiting()) {
            final QueuedRequest evicted = queue.evictFor(priority, spec.customer(), weight);
            if (evicted == null) {
                mBudget.settle(spec.id(), 0, now);
                return Optional.of(overloaded(spec, wait));
            }
            shed(evicted, overloaded(evicted.spec(), wait), now);
        }
        final QueuedRequest queued = new QueuedRequest(spec, due, mSequence++);
        queue.add(queued, weight);
        mWaiting.put(spec.id(), queued);
        return Optional.empty();
    }

    @Override
    public List<RequestSpec> takeAdmitted(final Instant now) {
        shedOverdue(now);
        final List<RequestSpec> admitted = new ArrayList<>();
        for (final TargetQueue queue : mQueues.values()) {
            QueuedRequest queued = queue.pollNext(candidate -> hasBudget(candidate, now));
            while (queued != null) {
                mWaiting.remove(queued.spec().id());
                mRunning.put(queued.spec().id(), new RunningRequest(queue, now));
                admitted.add(queued.spec());
                queued = queue.pollNext(candidate -> hasBudget(candidate, now));
            }
        }
        return admitted;
    }

    @Override
    public List<ShedRequest> takeShed(final Instant now) {
        shedOverdue(now);
        final List<ShedRequest> shed = List.copyOf(mShed);
        mShed.clear();
        return shed;
    }

    /**
     * Counts a resumed request against the slots and, as far as tokens are left, the budget.
     *
     * <p>After the loss of a daemon all its callers resume on other daemons at once. Without this
     * count those daemons would admit as many new requests as before in addition. More requests may
     * run than there are slots; none is admitted until enough have ended.
     */
    @Override
    public void resume(final RequestSpec spec, final long restTokens, final Instant now) {
        final TargetQueue queue = queue(Target.of(spec));
        queue.addRunning();
        mRunning.put(spec.id(), new RunningRequest(queue, now));
        mResumed++;
        if (reserve(spec, restTokens, now).kind() != BudgetDecision.Kind.RESERVED) {
            mResumedWithoutBudget++;
        }
    }

    @Override
    public void requestEnded(
            final RequestId request, final long generatedTokens, final Instant now) {
        final RunningRequest running = mRunning.remove(request);
        final QueuedRequest queued = mWaiting.remove(request);
        if (running != null) {
            running.queue().requestEnded(generatedTokens, Duration.between(running.since(), now));
            mBudget.settle(request, generatedTokens, now);
        } else if (queued != null) {
            queue(Target.of(queued.spec())).remove(queued);
            mBudget.settle(request, 0, now);
        }
    }

    /** Returns the number of queued requests. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Returns the number of running requests, admitted or resumed. */
    public int running() {
        return mRunning.size();
    }

    /** Returns the number of requests that were resumed with a ticket so far. */
    public long resumed() {
        return mResumed;
    }

    /** Returns the number of requests so far that were resumed although no budget was left. */
    public long resumedWithoutBudget() {
        return mResumedWithoutBudget;
    }

    private boolean hasBudget(final QueuedRequest queued, final Instant now) {
        return reserve(queued.spec(), now).kind() == BudgetDecision.Kind.RESERVED;
    }

    private BudgetDecision reserve(final RequestSpec spec, final Instant now) {
        return reserve(spec, spec.maxTokens(), now);
    }

    private BudgetDecision reserve(final RequestSpec spec, final long tokens, final Instant now) {
        final Customer customer = mCustomers.get(spec.customer());
        if (customer == null) {
            return BudgetDecision.RESERVED;
        }
        final TeamId team = customer.team();
        return mBudget.reserve(spec.id(), team, Math.max(1, tokens), now);
    }

    /**
     * Sheds the requests that are past their due time.
     *
     * <p>Under overload an answer that begins after its first-token target is of no use, and the
     * slot it occupies makes the next answer late as well.
     */
    private void shedOverdue(final Instant now) {
        for (final TargetQueue queue : mQueues.values()) {
            for (final QueuedRequest queued : queue.removeOverdue(now)) {
                final BudgetDecision decision = reserve(queued.spec(), now);
                final boolean isSpent = decision.kind() != BudgetDecision.Kind.RESERVED;
                final RequestSpec spec = queued.spec();
                final Duration wait =
                        queue.expectedWait(
                                spec.tier().priority(), spec.customer(), weight(spec.customer()));
                shed(queued, isSpent ? budgetSpent(decision) : overloaded(spec, wait), now);
            }
        }
    }

    private void shed(final QueuedRequest queued, final Refusal refusal, final Instant now) {
        mWaiting.remove(queued.spec().id());
        mBudget.settle(queued.spec().id(), 0, now);
        mShed.add(new ShedRequest(queued.spec(), refusal));
    }

    private Refusal budgetSpent(final BudgetDecision decision) {
        return Refusal.notRun(ErrorCode.BUDGET_SPENT, "team budget")
                .withRetryAfter(clampRetryAfter(decision.retryAfter()));
    }

    /**
     * Returns a refusal with jitter of up to half the retry delay. Otherwise callers refused at the
     * same moment would retry at the same moment.
     */
    private Refusal overloaded(final RequestSpec spec, final Duration wait) {
        final int step = Math.floorMod(spec.id().hashCode(), RETRY_SPREAD_STEPS);
        final Duration base = clampRetryAfter(wait);
        final Duration spread = base.multipliedBy(step).dividedBy(2L * RETRY_SPREAD_STEPS);
        return Refusal.notRun(ErrorCode.OVERLOADED, "tier " + spec.tier().name())
                .withRetryAfter(base.plus(spread));
    }

    private Duration clampRetryAfter(final Duration wait) {
        if (wait.compareTo(mSettings.minRetryAfter()) < 0) {
            return mSettings.minRetryAfter();
        }
        return wait.compareTo(mSettings.maxRetryAfter()) > 0 ? mSettings.maxRetryAfter() : wait;
    }

    /**
     * Returns the last moment at which admission still meets a request's first-token target.
     *
     * <p>At most half the target is reserved for dispatch. Otherwise all requests of a tier whose
     * target is not longer than the allowance would be overdue on arrival and always refused.
     */
    private Instant due(final RequestSpec spec) {
        final Duration firstTokenTarget = spec.tier().firstTokenTarget();
        final Duration half = firstTokenTarget.dividedBy(2);
        final Duration allowance = mSettings.dispatchAllowance();
        final Instant target =
                spec.arrived()
                        .plus(firstTokenTarget)
                        .minus(allowance.compareTo(half) < 0 ? allowance : half);
        return target.isBefore(spec.deadline()) ? target : spec.deadline();
    }

    private int weight(final CustomerId id) {
        final Customer customer = mCustomers.get(id);
        return customer == null ? 1 : customer.weight();
    }

    private TargetQueue queue(final Target target) {
        return mQueues.computeIfAbsent(target, key -> new TargetQueue(mSettings.initialSlots()));
    }

    /** A running request. */
    private record RunningRequest(TargetQueue queue, Instant since) {}
}
