package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers by a short hash which requests were answered lately, whether suspected or not. It is
 * kept in calm too, so the hash must be cheap; two requests with the same one do little harm.
 */
public final class UsualRequests {

    /**
     * A common request comes again within this; what is asked for less often is on few endpoints.
     */
    private static final Duration MEMORY = Duration.ofSeconds(30);

    private static final int MAX_REQUESTS = 8_192;

    private final Map<Long, Instant> mAnsweredAt = new LinkedHashMap<>();

    /**
     * Records a complete answer.
     *
     * @param hash the hash of the request
     * @param now the current time
     */
    public void recordAnswer(final long hash, final Instant now) {
        mAnsweredAt.remove(hash);
        mAnsweredAt.put(hash, now);
        if (mAnsweredAt.size() > MAX_REQUESTS) {
            mAnsweredAt.remove(mAnsweredAt.keySet().iterator().next());
        }
    }

    /**
     * Returns whether a request was answered lately.
     *
     * @param hash the hash of the request
     * @param now the current time
     * @return true if this daemon has had an answer to it
     */
    public boolean contains(final long hash, final Instant now) {
        final Instant answeredAt = mAnsweredAt.get(hash);
        return answeredAt != null && now.isBefore(answeredAt.plus(MEMORY));
    }
}
