package org.whinhead.demo;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.whinhead.standins.deployment.DeploymentStandIns;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.LoadResult;
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.witness.WorkCounter;

/**
 * The result of a run, as seen by its callers and by the stand-ins.
 *
 * @param config the configuration of the run
 * @param phases the callers' results in each phase of the run
 * @param doubled the number of non-idempotent requests that were run more than once
 * @param notRunButRan the number of requests that were refused as not run, but were run
 * @param unwitnessed the number of completed requests that no stand-in saw run; the other counts
 *     are not valid for them
 * @param recomputedTokens the number of tokens that engines computed again for the same request and
 *     position
 * @param generatedTokens the number of tokens that engines generated
 * @param costByRole the cost of the VMs of each role
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

    /** Validates every component and copies the map. */
    public DemoResult {
        Objects.requireNonNull(config, "config");
        Objects.requireNonNull(phases, "phases");
        costByRole = Map.copyOf(costByRole);
    }

    static DemoResult of(
            final DemoConfig config, final LoadPhases phases, final DeploymentStandIns standIns) {
        final WorkCounter witness = standIns.context().workCounter();
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

    /** Returns the callers' results of the whole run. */
    public LoadResult load() {
        return phases.end();
    }

    /** Returns the number of accepted requests that were owed a whole answer and did not get it. */
    public long lost() {
        return load().count(RequestOutcome.LOST);
    }

    /** Returns the number of wrong answers. */
    public long wrongAnswers() {
        return load().count(RequestOutcome.WRONG);
    }

    /** Returns the cost of all VMs. */
    public double cost() {
        return costByRole.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /**
     * Returns the cost of a thousand completed requests by tier. The cost of the run is divided
     * among the tiers by the tokens that their callers received; a plain call counts as one.
     */
    public Map<String, Double> costPerThousandByTier() {
        final double allTokens = deliveredTokens(null);
        final Map<String, Double> byTier = new TreeMap<>();
        load().completedByTier()
                .forEach(
                        (tier, completed) ->
                                byTier.put(
                                        tier,
                                        cost()
                                                * deliveredTokens(tier)
                                                / allTokens
                                                * THOUSAND
                                                / completed));
        return byTier;
    }

    /** Returns the cost of a thousand completed requests over all tiers. */
    public double costPerThousand() {
        return cost() * THOUSAND / Math.max(1, load().count(RequestOutcome.COMPLETED));
    }

    /** Returns whether nothing was lost, doubled or wrong, and some request was completed. */
    public boolean isGuaranteeKept() {
        return load().isGuaranteeKept() && doubled == 0 && notRunButRan == 0 && unwitnessed == 0;
    }

    private double deliveredTokens(final String tier) {
        return load().requests().stream()
                .filter(result -> result.outcome() == RequestOutcome.COMPLETED)
                .filter(result -> tier == null || tier.equals(result.request().customer().tier()))
                .mapToLong(result -> Math.max(1, result.tokens()))
                .sum();
    }

    /** Returns the identifier by which engines know a request. */
    static String engineRequestId(final PlannedRequest request) {
        return request.customer().name() + '/' + request.id().value();
    }

    private static long doubled(final LoadResult load, final WorkCounter witness) {
        return load.nonIdempotentResults().stream()
                .filter(result -> witness.executions(result.request().id().value()) > 1)
                .count();
    }

    private static long notRunButRan(final LoadResult load, final WorkCounter witness) {
        return count(load, RequestOutcome.REFUSED_NOT_RUN, witness, true);
    }

    /**
     * Counts completed requests that no stand-in saw. If endpoints saw requests under other names
     * than are looked up here, no doubled run would ever be found.
     */
    private static long unwitnessed(final LoadResult load, final WorkCounter witness) {
        return count(load, RequestOutcome.COMPLETED, witness, false);
    }

    private static long count(
            final LoadResult load,
            final RequestOutcome outcome,
            final WorkCounter witness,
            final boolean ran) {
        return load.requests().stream()
                .filter(result -> result.outcome() == outcome)
                .filter(result -> ran(result.request(), witness) == ran)
                .count();
    }

    /** Returns whether a stand-in ran a request; services use its id as the idempotency key. */
    private static boolean ran(final PlannedRequest request, final WorkCounter witness) {
        return request.kind().style().isPlainService()
                ? witness.executions(request.id().value()) > 0
                : witness.hasWork(engineRequestId(request));
    }
}
