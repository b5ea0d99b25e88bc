package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers suspected requests that were answered, so that reports of daemons that have not heard
 * of the answer don't put them under suspicion again.
 */
final class AnsweredRequests {

    /** Far longer than a daemon that is not cut off takes to hear of an answer. */
    private static final Duration MEMORY = Duration.ofSeconds(30);

    private static final int MAX_REQUESTS = 1_024;

    private final Map<RequestIdentity, Instant> mAnsweredAt = new LinkedHashMap<>();

    void add(final RequestIdentity request, final Instant now) {
        mAnsweredAt.remove(request);
        mAnsweredAt.put(request, now);
        if (mAnsweredAt.size() > MAX_REQUESTS) {
            mAnsweredAt.remove(mAnsweredAt.keySet().iterator().next());
        }
    }

    /** Forgets an answer that a later crash outweighs. */
    void remove(final RequestIdentity request) {
        mAnsweredAt.remove(request);
    }

    /** Returns whether a request was answered a short while ago. */
    boolean containsRecent(final RequestIdentity request, final Instant now) {
        final Instant answeredAt = mAnsweredAt.get(request);
        return answeredAt != null && now.isBefore(answeredAt.plus(MEMORY));
    }
}
