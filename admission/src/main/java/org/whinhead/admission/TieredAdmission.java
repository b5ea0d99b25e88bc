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
 * Queues for each model and service: strict between tiers, fair between customers, early refusal of
 * what can't meet its target, so that under overload the capacity goes to answers that are on time.
 */
public final class TieredAdmission implements Admission {

    private static final int SPREAD_STEPS = 256;

    private final AdmissionSettings mSettings;
    private final Budget mBudget;
    private final Map<Target, Lane> mLanes = new HashMap<>();
    private final Map<RequestId, Waiter> mWaiting = new HashMap<>();
    private final Map<RequestId, Running> mRunning = new HashMap<>();
    private final List<Shed> mShed = new ArrayList<>();
    private Map<CustomerId, Customer> mCustomers = Map.of();
    private long mSequence;
    private long mReturned;
    private long mReturnedWithoutBudget;

    /**
     * Makes empty queues.
     *
     * @param settings bounds
     * @param budget what teams may spend
     */
    public TieredAdmission(final AdmissionSettings settings, final Budget budget) {
        mSettings = Objects.requireNonNull(settings, "settings");
        mBudget = Objects.requireNonNull(budget, "budget");
    }

    /**
     * Takes the customers of the settings, with their weights and teams.
     *
     * <p>A request of a customer that is not among them has weight 1 and no budget to keep; whoever
     * offers requests has checked their keys against the same settings.
     *
     * @param customers every customer
     */
    public void customersChanged(final Collection<Customer> customers) {
        final Map<CustomerId, Customer> byId = new HashMap<>();
        customers.forEach(customer -> byId.put(customer.id(), customer));
        mCustomers = byId;
    }

    /**
     * Sets how many requests of a target this daemon runs at once.
     *
     * @param target the target
     * @param slots this daemon's share of the slots of all endpoints that serve it
     */
    public void capacityChanged(final Target target, final int slots) {
        lane(target).resize(slots);
    }

    @Override
    public Optional<Refusal> offer(final RequestSpec spec, final Instant now) {
        final Lane lane = lane(Target.of(spec));
        final int weight = weight(spec.customer());
        final int priority = spec.tier().priority();
        final Instant due = due(spec);
        final Duration wait = lane.expectedWait(priority, spec.customer(), weight);
        if (now.plus(wait).isAfter(due)) {
            return Optional.of(overloaded(spec, wait));
        }
        final BudgetDecision decision = reserve(spec, now);
        if (decision.kind() == BudgetDecision.Kind.REFUSED) {
            return Optional.of(budgetSpent(decision));
        }
        if (lane.waiting() >= mSettings.maxWaiting()) {
            final Waiter evicted = lane.evictFor(priority, spec.customer(), weight);
            if (evicted == null) {
                mBudget.settle(spec.id(), 0, now);
                return Optional.of(overloaded(spec, wait));
            }
            shed(evicted, overloaded(evicted.spec(), wait), now);
        }
        final Waiter waiter = new Waiter(spec, due, mSequence++);
        lane.add(waiter, weight);
        mWaiting.put(spec.id(), waiter);
        return Optional.empty();
    }

    @Override
    public List<RequestSpec> admitted(final Instant now) {
        removeLate(now);
        final List<RequestSpec> admitted = new ArrayList<>();
        for (final Lane lane : mLanes.values()) {
            Waiter waiter = lane.serve(candidate -> hasBudget(candidate, now));
            while (waiter != null) {
                mWaiting.remove(waiter.spec().id());
                mRunning.put(waiter.spec().id(), new Running(lane, now));
                admitted.add(waiter.spec());
                waiter = lane.serve(candidate -> hasBudget(candidate, now));
            }
        }
        return admitted;
    }

    @Override
    public List<Shed> shed(final Instant now) {
        removeLate(now);
        final List<Shed> shed = List.copyOf(mShed);
        mShed.clear();
        return shed;
    }

    /**
     * Counts a request that came back against the slots and, as far as there is any, the budget.
     *
     * <p>Guards against work that nobody sees: after the loss of a daemon all its callers come back
     * elsewhere at once, and a daemon that did not count them would admit as many new requests as
     * before on top. The lane may hold more than its slots then, and admits nothing until it has
     * drained.
     */
    @Override
    public void returned(final RequestSpec spec, final long restTokens, final Instant now) {
        final Lane lane = lane(Target.of(spec));
        lane.returned();
        mRunning.put(spec.id(), new Running(lane, now));
        mReturned++;
        if (reserve(spec, restTokens, now).kind() != BudgetDecision.Kind.RESERVED) {
            mReturnedWithoutBudget++;
        }
    }

    @Override
    public void ended(final RequestId request, final long generatedTokens, final Instant now) {
        final Running running = mRunning.remove(request);
        final Waiter waiter = mWaiting.remove(request);
        if (running != null) {
            running.lane().ended(generatedTokens, Duration.between(running.since(), now));
            mBudget.settle(request, generatedTokens, now);
        } else if (waiter != null) {
            lane(Target.of(waiter.spec())).remove(waiter);
            mBudget.settle(request, 0, now);
        }
    }

    /** Returns how many requests wait. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Returns how many admitted requests have not ended. */
    public int running() {
        return mRunning.size();
    }

    /** Returns how many requests came back with a ticket so far. */
    public long returned() {
        return mReturned;
    }

    /** Returns how many of those found no budget left and went on all the same. */
    public long returnedWithoutBudget() {
        return mReturnedWithoutBudget;
    }

    private boolean hasBudget(final Waiter waiter, final Instant now) {
        return reserve(waiter.spec(), now).kind() == BudgetDecision.Kind.RESERVED;
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
     * Takes out the requests that are late already.
     *
     * <p>Guards against work for nothing under overload: an answer that begins after its target
     * counts for nobody, and the slot that it takes makes the next one late as well.
     */
    private void removeLate(final Instant now) {
        for (final Lane lane : mLanes.values()) {
            for (final Waiter waiter : lane.removeLate(now)) {
                final BudgetDecision decision = reserve(waiter.spec(), now);
                final boolean isSpent = decision.kind() != BudgetDecision.Kind.RESERVED;
                final RequestSpec spec = waiter.spec();
                final Duration wait =
                        lane.expectedWait(
                                spec.tier().priority(), spec.customer(), weight(spec.customer()));
                shed(waiter, isSpent ? budgetSpent(decision) : overloaded(spec, wait), now);
            }
        }
    }

    private void shed(final Waiter waiter, final Refusal refusal, final Instant now) {
        mWaiting.remove(waiter.spec().id());
        mBudget.settle(waiter.spec().id(), 0, now);
        mShed.add(new Shed(waiter.spec(), refusal));
    }

    private Refusal budgetSpent(final BudgetDecision decision) {
        return Refusal.notRun(ErrorCode.BUDGET_SPENT, "team budget")
                .withRetryAfter(clamp(decision.retryAfter()));
    }

    /**
     * Guards against a retry wave: callers refused in the same moment would come back in the same
     * moment, so each is told a time of its own, up to half as long again.
     */
    private Refusal overloaded(final RequestSpec spec, final Duration wait) {
        final int step = Math.floorMod(spec.id().hashCode(), SPREAD_STEPS);
        final Duration base = clamp(wait);
        final Duration spread = base.multipliedBy(step).dividedBy(2L * SPREAD_STEPS);
        return Refusal.notRun(ErrorCode.OVERLOADED, "tier " + spec.tier().name())
                .withRetryAfter(base.plus(spread));
    }

    private Duration clamp(final Duration wait) {
        if (wait.compareTo(mSettings.shortestRetry()) < 0) {
            return mSettings.shortestRetry();
        }
        return wait.compareTo(mSettings.longestRetry()) > 0 ? mSettings.longestRetry() : wait;
    }

    /**
     * Returns the last moment at which admission still meets a request's target.
     *
     * <p>Guards against a tier whose target is not longer than the allowance: each of its requests
     * would be late on arrival and refused for ever. Half the target is the most that is kept back.
     */
    private Instant due(final RequestSpec spec) {
        final Duration promised = spec.tier().firstTokenTarget();
        final Duration half = promised.dividedBy(2);
        final Duration allowance = mSettings.dispatchAllowance();
        final Instant target =
                spec.arrived()
                        .plus(promised)
                        .minus(allowance.compareTo(half) < 0 ? allowance : half);
        return target.isBefore(spec.deadline()) ? target : spec.deadline();
    }

    private int weight(final CustomerId id) {
        final Customer customer = mCustomers.get(id);
        return customer == null ? 1 : customer.weight();
    }

    private Lane lane(final Target target) {
        return mLanes.computeIfAbsent(target, key -> new Lane(mSettings.startSlots()));
    }

    /** An admitted request. */
    private record Running(Lane lane, Instant since) {}
}
