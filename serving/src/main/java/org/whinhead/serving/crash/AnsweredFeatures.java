package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers suspected features of requests that were answered, so that reports of daemons that have
 * not heard of the answer don't put them under suspicion again.
 */
final class AnsweredFeatures {

    /** Far longer than a daemon that is not cut off takes to hear of an answer. */
    private static final Duration MEMORY = Duration.ofSeconds(30);

    private static final int MAX_FEATURES = 1_024;

    private final Map<RequestFeature, Instant> mAnsweredAt = new LinkedHashMap<>();

    void add(final RequestFeature feature, final Instant now) {
        mAnsweredAt.remove(feature);
        mAnsweredAt.put(feature, now);
        if (mAnsweredAt.size() > MAX_FEATURES) {
            mAnsweredAt.remove(mAnsweredAt.keySet().iterator().next());
        }
    }

    /** Forgets an answer that a later crash outweighs. */
    void remove(final RequestFeature feature) {
        mAnsweredAt.remove(feature);
    }

    /** Returns whether a request with a feature was answered a short while ago. */
    boolean containsRecent(final RequestFeature feature, final Instant now) {
        final Instant answeredAt = mAnsweredAt.get(feature);
        return answeredAt != null && now.isBefore(answeredAt.plus(MEMORY));
    }
}
