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
 * What the callers of a run saw.
 *
 * @param deployment the name of the mix
 * @param elapsed from the first intended start to the last end
 * @param requests one result for each request, in the order in which they ended
 * @param firstToken times from the intended start to the first token
 * @param betweenTokens times between two tokens of one answer
 * @param firstTokenByTier times from the intended start to the first token, for each tier
 * @param latencyByKind times from the intended start to a whole answer, for each kind of request
 */
public record LoadResult(
        String deployment,
        Duration elapsed,
        List<RequestResult> requests,
        LatencyDistribution timeToFirstToken,
        LatencyDistribution timeBetweenTokens,
        Map<String, LatencyDistribution> timeToFirstTokenByTier,
        Map<String, LatencyDistribution> latencyByKind) {

    /** Checks every part and copies the collections. */
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
     * Counts the requests that ended in one way.
     *
     * @param outcome the way
     * @return how many
     */
    public long count(final Outcome outcome) {
        return requests.stream().filter(result -> result.outcome() == outcome).count();
    }

    /** Returns how many requests a daemon took. */
    public long accepted() {
        return requests.stream().filter(RequestResult::accepted).count();
    }

    /** Returns how many times requests were sent with a ticket. */
    public long resumes() {
        return requests.stream().mapToLong(RequestResult::resumes).sum();
    }

    /** Returns how many right tokens reached the callers. */
    public long tokens() {
        return requests.stream().mapToLong(RequestResult::tokens).sum();
    }

    /** Returns how many requests of each tier were completed. */
    public Map<String, Long> completedByTier() {
        return requests.stream()
                .filter(result -> result.outcome() == Outcome.COMPLETED)
                .collect(groupAndCount(result -> result.request().customer().tier()));
    }

    /** Returns how many answers have each fault. */
    public Map<String, Long> faults() {
        return requests.stream()
                .filter(result -> result.fault().isPresent())
                .collect(groupAndCount(result -> result.fault().get().name()));
    }

    /** Returns how many requests that were not completed ended with each error code. */
    public Map<String, Long> errorCodes() {
        return requests.stream()
                .filter(result -> result.outcome() != Outcome.COMPLETED)
                .filter(result -> !result.errorCode().isEmpty())
                .collect(groupAndCount(RequestResult::errorCode));
    }

    /** Returns the requests that must not run twice, with their idempotency keys. */
    public List<RequestResult> nonIdempotentResults() {
        return requests.stream().filter(result -> result.idempotencyKey().isPresent()).toList();
    }

    /** Tells whether no request was lost or answered wrongly, and some request was completed. */
    public boolean isGuaranteeKept() {
        return count(Outcome.COMPLETED) > 0
                && requests.stream().noneMatch(result -> result.outcome().violatesGuarantee());
    }

    private static Collector<RequestResult, ?, TreeMap<String, Long>> groupAndCount(
            final Function<RequestResult, String> key) {
        return Collectors.groupingBy(key, TreeMap::new, Collectors.counting());
    }
}
