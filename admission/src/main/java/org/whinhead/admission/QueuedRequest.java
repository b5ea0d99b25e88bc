package org.whinhead.admission;

import java.time.Instant;
import org.whinhead.api.request.RequestSpec;

/**
 * A queued request, ordered by due time.
 *
 * @param spec the request
 * @param due the last moment at which admission still meets the first-token target
 * @param sequence the order among requests of the same due time
 */
record QueuedRequest(RequestSpec spec, Instant due, long sequence)
        implements Comparable<QueuedRequest> {

    private static final int PROMPT_TOKENS_PER_GENERATED_TOKEN = 8;

    @Override
    public int compareTo(final QueuedRequest other) {
        final int byDue = due.compareTo(other.due);
        return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
    }

    /** Returns the work for an engine, in generated tokens; prompt tokens are cheaper. */
    double workTokens() {
        return 1.0
                + spec.maxTokens()
                + (double) spec.promptTokens() / PROMPT_TOKENS_PER_GENERATED_TOKEN;
    }
}
