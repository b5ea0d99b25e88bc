package org.whinhead.standins.witness;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.Map;
import java.util.TreeMap;

/** Counts the work of all engines and services of one process; thread-safe. */
public final class WorkCounter {

    private final Map<String, RequestCounts> mByRequest = new TreeMap<>();
    private final Map<String, Integer> mExecutionsByKey = new TreeMap<>();

    /** Counts an attempt that an engine accepted. */
    public synchronized void countAttempt(final String request) {
        counts(request).mAttempts++;
    }

    /** Counts leading prompt tokens that an engine found in its cache. */
    public synchronized void countCachedTokens(final String request, final int tokens) {
        counts(request).mCached += tokens;
    }

    /** Counts computed prompt tokens, from a position to another (exclusive). */
    public synchronized void countPrefill(final String request, final int from, final int to) {
        final RequestCounts counts = counts(request);
        counts.mPrefilled += to - from;
        counts.mPositions.set(from, to);
    }

    /** Counts a token that an engine generated at a position. */
    public synchronized void countGeneratedToken(final String request, final int position) {
        final RequestCounts counts = counts(request);
        counts.mGenerated++;
        counts.mPositions.set(position);
    }

    /** Counts an execution of a call by a plain service. */
    public synchronized void countExecution(final String request, final String idempotencyKey) {
        counts(request).mExecutions++;
        mExecutionsByKey.merge(idempotencyKey, 1, Integer::sum);
    }

    /**
     * Returns the number of executions of an idempotency key by plain services.
     *
     * @param idempotencyKey the key
     * @return the number of executions
     */
    public synchronized int executions(final String idempotencyKey) {
        return mExecutionsByKey.getOrDefault(idempotencyKey, 0);
    }

    /**
     * Returns the number of attempts of a request that engines accepted.
     *
     * @param request the request's identity
     * @return the number of attempts
     */
    public synchronized int attempts(final String request) {
        return mByRequest.containsKey(request) ? counts(request).mAttempts : 0;
    }

    /**
     * Returns whether an engine computed tokens for a request or a service executed it.
     *
     * @param request the request's identity
     * @return true if any work was done for the request
     */
    public synchronized boolean hasWork(final String request) {
        return mByRequest.containsKey(request) && counts(request).hasWork();
    }

    /** Returns the number of tokens that engines generated. */
    public synchronized long generatedTokens() {
        return mByRequest.values().stream().mapToLong(counts -> counts.mGenerated).sum();
    }

    /** Returns the number of prompt tokens that engines computed. */
    public synchronized long promptTokensComputed() {
        return mByRequest.values().stream().mapToLong(counts -> counts.mPrefilled).sum();
    }

    /** Returns the number of tokens computed again for the same request and position. */
    public synchronized long recomputedTokens() {
        return mByRequest.values().stream().mapToLong(RequestCounts::recomputed).sum();
    }

    /**
     * Returns the number of recomputed tokens of one request.
     *
     * @param request the request's identity
     * @return the number of computations beyond the first of each position
     */
    public synchronized long recomputedTokens(final String request) {
        return mByRequest.containsKey(request) ? counts(request).recomputed() : 0;
    }

    /** Returns all counts as JSON. */
    public synchronized ObjectNode toJson() {
        final ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("generatedTokens", generatedTokens());
        root.put("promptTokensComputed", promptTokensComputed());
        root.put("recomputedTokens", recomputedTokens());
        final ObjectNode requests = root.putObject("requests");
        mByRequest.forEach((id, counts) -> requests.set(id, counts.toJson()));
        final ObjectNode keys = root.putObject("executionsByKey");
        mExecutionsByKey.forEach(keys::put);
        return root;
    }

    private RequestCounts counts(final String request) {
        return mByRequest.computeIfAbsent(request, id -> new RequestCounts());
    }

    private static final class RequestCounts {
        private final BitSet mPositions = new BitSet();
        private int mAttempts;
        private int mExecutions;
        private int mCached;
        private int mPrefilled;
        private int mGenerated;

        private long recomputed() {
            return (long) mPrefilled + mGenerated - mPositions.cardinality();
        }

        private boolean hasWork() {
            return mExecutions + mPrefilled + mGenerated > 0;
        }

        private ObjectNode toJson() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("attempts", mAttempts)
                    .put("executions", mExecutions)
                    .put("cachedTokens", mCached)
                    .put("prefillTokens", mPrefilled)
                    .put("generatedTokens", mGenerated)
                    .put("recomputedTokens", recomputed());
        }
    }
}
