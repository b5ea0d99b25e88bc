package org.whinhead.requests;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;

/**
 * Remembers attempts that were ended before their stream had a name.
 *
 * <p>Guards against a stream that nobody reads: the endpoint takes the request, or the moved KV
 * cache, after the attempt was ended, and generates to the end for nobody. It shows as an open or
 * move event of an ended attempt; the stream that it names is cancelled then. The oldest are
 * forgotten, which costs tokens and breaks no promise.
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

    /** Takes out the endpoint of an attempt whose stream has got a name after all. */
    Optional<Endpoint> remove(final AttemptId attempt) {
        return Optional.ofNullable(mEndpoints.remove(attempt));
    }
}
