package org.whinhead.demo;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.whinhead.standins.deployment.DeploymentStandIns;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.LoadResult;
import org.whinhead.standins.load.result.Outcome;
import org.whinhead.standins.witness.WorkCounter;

/**
 * What came of a run, as its callers and the stand-ins saw it.
 *
 * @param config what was run
 * @param phases what the callers saw
 * @param doubled requests that must not be repeated and were run more than once
 * @param notRunButRan requests that were refused as not run, though work was done for them
 * @param unwitnessed completed requests that no stand-in saw run, so that nothing said of them
 *     holds
 * @param recomputedTokens tokens that engines computed again for the same request and position
 * @param generatedTokens tokens that engines generated
 * @param costByRole what the VMs of each role have cost
 */
public record DemoResult(
        DemoConfig config,
        LoadPhases phases,
        long doubled,
        long notRunButRan,
        long unwitnessed,
        long recomputedTokens,
        long generatedTokens,
        Map<String, Double> costByRole) {

    private static final double THOUSAND = 1000;

    /** Checks every part and copies the map. */
    public DemoResult {
        Objects.requireNonNull(config, "config");
        Objects.requireNonNull(phases, "phases");
        costByRole = Map.copyOf(costByRole);
    }

    static DemoResult of(
            final DemoConfig config, final LoadPhases phases, final DeploymentStandIns standIns) {
        final WorkCounter witness = standIns.context().witness();
        final Map<String, Double> cost = new TreeMap<>();
        standIns.cloud().cost().forEach((role, amount) -> cost.put(role.wireName(), amount));
        return new DemoResult(
                config,
                phases,
                doubled(phases.end(), witness),
                notRunButRan(phases.end(), witness),
                unwitnessed(phases.end(), witness),
                witness.recomputedTokens(),
                witness.generatedTokens(),
                cost);
    }

    /** Returns what the callers saw over the whole run. */
    public LoadResult load() {
        return phases.end();
    }

    /** Returns how many accepted requests got no whole answer though one was owed. */
    public long lost() {
        return load().count(Outcome.LOST);
    }

    /** Returns how many answers were wrong. */
    public long wrongAnswers() {
        return load().count(Outcome.WRONG);
    }

    /** Returns what all VMs have cost. */
    public double cost() {
        return costByRole.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /**
     * Returns what a thousand completed requests of each tier cost; the cost of the run is divided
     * among the tiers by the tokens that reached their callers, a plain call counting as one.
     */
    public Map<String, Double> costPerThousandByTier() {
        final double all = work(null);
        final Map<String, Double> byTier = new TreeMap<>();
        load().completedByTier()
                .forEach(
                        (tier, completed) ->
                                byTier.put(tier, cost() * work(tier) / all * THOUSAND / completed));
        return byTier;
    }

    /** Returns what a thousand completed requests cost, of all tiers together. */
    public double costPerThousand() {
        return cost() * THOUSAND / Math.max(1, load().count(Outcome.COMPLETED));
    }

    /** Tells whether nothing was lost, doubled or wrong, and some request was completed. */
    public boolean promiseKept() {
        return load().promiseKept() && doubled == 0 && notRunButRan == 0 && unwitnessed == 0;
    }

    private double work(final String tier) {
        return load().requests().stream()
                .filter(result -> result.outcome() == Outcome.COMPLETED)
                .filter(result -> tier == null || tier.equals(result.request().customer().tier()))
                .mapToLong(result -> Math.max(1, result.tokens()))
                .sum();
    }

    /** Returns the identity under which engines see a request. */
    static String nameAtEngines(final PlannedRequest request) {
        return request.customer().name() + '/' + request.id().value();
    }

    private static long doubled(final LoadResult load, final WorkCounter witness) {
        return load.nonIdempotent().stream()
                .filter(result -> witness.executions(result.request().id().value()) > 1)
                .count();
    }

    private static long notRunButRan(final LoadResult load, final WorkCounter witness) {
        return count(load, Outcome.REFUSED_NOT_RUN, witness, true);
    }

    /**
     * Guards against a judgement of nothing: if endpoints saw requests under other names than are
     * looked up here, no doubled run would ever be found.
     */
    private static long unwitnessed(final LoadResult load, final WorkCounter witness) {
        return count(load, Outcome.COMPLETED, witness, false);
    }

    private static long count(
            final LoadResult load,
            final Outcome outcome,
            final WorkCounter witness,
            final boolean ran) {
        return load.requests().stream()
                .filter(result -> result.outcome() == outcome)
                .filter(result -> ran(result.request(), witness) == ran)
                .count();
    }

    /** Services see the caller's own name as the idempotency key. */
    private static boolean ran(final PlannedRequest request, final WorkCounter witness) {
        return request.kind().style().plain()
                ? witness.executions(request.id().value()) > 0
                : witness.hasWork(nameAtEngines(request));
    }
}
