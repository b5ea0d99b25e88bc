package org.whinhead.standins.load.result;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collector;
import java.util.stream.Collectors;

/**
 * The results and latencies of a load run.
 *
 * @param deployment the name of the workload
 * @param elapsed the time from the start of the run to this result
 * @param requests one result for each request, in the order in which they ended
 * @param timeToFirstToken times from the intended start to the first token
 * @param timeBetweenTokens times between two consecutive tokens of one answer
 * @param timeToFirstTokenByTier times from the intended start to the first token, by tier
 * @param latencyByKind times from the intended start to the complete answer, by kind of request
 */
public record LoadResult(
        String deployment,
        Duration elapsed,
        List<RequestResult> requests,
        LatencyDistribution timeToFirstToken,
        LatencyDistribution timeBetweenTokens,
        Map<String, LatencyDistribution> timeToFirstTokenByTier,
        Map<String, LatencyDistribution> latencyByKind) {

    /** Checks that no component is null and copies the collections. */
    public LoadResult {
        Objects.requireNonNull(deployment, "deployment");
        Objects.requireNonNull(elapsed, "elapsed");
        requests = List.copyOf(requests);
        Objects.requireNonNull(timeToFirstToken, "firstToken");
        Objects.requireNonNull(timeBetweenTokens, "betweenTokens");
        timeToFirstTokenByTier = Map.copyOf(timeToFirstTokenByTier);
        latencyByKind = Map.copyOf(latencyByKind);
    }

    /**
     * Returns the number of requests with an outcome.
     *
     * @param outcome the outcome
     * @return the number of requests
     */
    public long count(final RequestOutcome outcome) {
        return requests.stream().filter(result -> result.outcome() == outcome).count();
    }

    /** Returns the number of requests that a daemon accepted. */
    public long accepted() {
        return requests.stream().filter(RequestResult::accepted).count();
    }

    /** Returns the number of attempts that carried a ticket. */
    public long resumes() {
        return requests.stream().mapToLong(RequestResult::resumes).sum();
    }

    /** Returns the number of correct tokens received. */
    public long tokens() {
        return requests.stream().mapToLong(RequestResult::tokens).sum();
    }

    /** Returns the number of completed requests of each tier. */
    public Map<String, Long> completedByTier() {
        return requests.stream()
                .filter(result -> result.outcome() == RequestOutcome.COMPLETED)
                .collect(groupAndCount(result -> result.request().customer().tier()));
    }

    /** Returns the number of wrong answers by the name of the fault. */
    public Map<String, Long> faults() {
        return requests.stream()
                .filter(result -> result.fault().isPresent())
                .collect(groupAndCount(result -> result.fault().get().name()));
    }

    /** Returns the number of requests that were not completed, by error code. */
    public Map<String, Long> errorCodes() {
        return requests.stream()
                .filter(result -> result.outcome() != RequestOutcome.COMPLETED)
                .filter(result -> !result.errorCode().isEmpty())
                .collect(groupAndCount(RequestResult::errorCode));
    }

    /** Returns the results of the non-idempotent requests, which have an idempotency key. */
    public List<RequestResult> nonIdempotentResults() {
        return requests.stream().filter(result -> result.idempotencyKey().isPresent()).toList();
    }

    /** Returns whether no request was lost or answered wrongly and at least one was completed. */
    public boolean isGuaranteeKept() {
        return count(RequestOutcome.COMPLETED) > 0
                && requests.stream().noneMatch(result -> result.outcome().violatesGuarantee());
    }

    private static Collector<RequestResult, ?, TreeMap<String, Long>> groupAndCount(
            final Function<RequestResult, String> key) {
        return Collectors.groupingBy(key, TreeMap::new, Collectors.counting());
    }
}
