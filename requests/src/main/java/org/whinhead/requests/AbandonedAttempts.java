package org.whinhead.requests;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;

/**
 * Records attempts that were cancelled before their stream ID was known.
 *
 * <p>Guards against an unread stream: the endpoint accepts the request, or the moved KV cache,
 * after the attempt was ended, and generates the whole answer for no reader. An open or move event
 * of an ended attempt reveals such a stream, which is then cancelled. The oldest records are
 * evicted, which can waste tokens but violates no guarantee.
 */
final class AbandonedAttempts {

    private static final int CAPACITY = 4096;

    private final Map<AttemptId, Endpoint> mEndpoints = new LinkedHashMap<>();

    void add(final Attempt attempt) {
        mEndpoints.put(attempt.id(), attempt.endpoint());
        if (mEndpoints.size() > CAPACITY) {
            mEndpoints.remove(mEndpoints.keySet().iterator().next());
        }
    }

    /** Removes a recorded attempt and returns its endpoint, so that its stream can be cancelled. */
    Optional<Endpoint> remove(final AttemptId attempt) {
        return Optional.ofNullable(mEndpoints.remove(attempt));
    }
}
