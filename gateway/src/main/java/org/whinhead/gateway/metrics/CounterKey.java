package org.whinhead.gateway.metrics;

import io.micrometer.core.instrument.Tags;
import java.util.Objects;

/**
 * Which count of requests is meant.
 *
 * @param metric what is counted
 * @param first the value of the metric's first tag
 * @param second the value of its second tag; empty if it has none
 */
record CounterKey(Metric metric, String firstTagValue, String secondTagValue) {

    /** Checks the parts. */
    CounterKey {
        Objects.requireNonNull(metric, "metric");
        Objects.requireNonNull(firstTagValue, "first");
        Objects.requireNonNull(secondTagValue, "second");
    }

    Tags tags() {
        return metric.tags(firstTagValue, secondTagValue);
    }

    /** What is counted, with the names of its tags. */
    enum Metric {
        /** Requests that were refused without being sent. */
        REFUSED("whinhead.requests.refused", "reason", ""),
        /** Tokens of the requests that customers were admitted with. */
        TOKENS_ADMITTED("whinhead.tokens.admitted", "customer", ""),
        /** Sends that ended without an answer. */
        ATTEMPT_FAILED("whinhead.attempts.failed", "verdict", "reason"),
        /** Runs that were moved off leaving endpoints. */
        MOVED("whinhead.runs.moved", "answered", ""),
        /** Requests that have ended. */
        FINISHED("whinhead.requests.finished", "kind", "outcome"),
        /** Requests that have ended within a time, as a cumulative histogram. */
        TIME_WITHIN("whinhead.requests.within", "kind", "millis"),
        /** The sum of the times of ended requests. */
        TIME_MILLIS("whinhead.requests.time.millis", "kind", "");

        private final String mName;
        private final String mFirstTag;
        private final String mSecondTag;

        Metric(final String name, final String firstTag, final String secondTag) {
            mName = name;
            mFirstTag = firstTag;
            mSecondTag = secondTag;
        }

        String metricName() {
            return mName;
        }

        private Tags tags(final String first, final String second) {
            final Tags tags = Tags.of(mFirstTag, first);
            return mSecondTag.isEmpty() ? tags : tags.and(mSecondTag, second);
        }
    }
}
