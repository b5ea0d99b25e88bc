package org.whinhead.admission;

import java.time.Instant;
import org.whinhead.api.request.RequestSpec;

/**
 * A waiting request.
 *
 * @param spec the request
 * @param due the last moment at which admission still meets its target
 * @param sequence its place among requests of the same due time
 */
record QueuedRequest(RequestSpec spec, Instant due, long sequence)
        implements Comparable<QueuedRequest> {

    private static final int PROMPT_TOKENS_PER_GENERATED_TOKEN = 8;

    @Override
    public int compareTo(final QueuedRequest other) {
        final int byDue = due.compareTo(other.due);
        return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
    }

    /** Returns its share of an engine's work, in generated tokens; prompt tokens are cheaper. */
    double workTokens() {
        return 1.0
                + spec.maxTokens()
                + (double) spec.promptTokens() / PROMPT_TOKENS_PER_GENERATED_TOKEN;
    }
}
