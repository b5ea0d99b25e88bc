package org.whinhead.gateway.metrics;

import io.micrometer.core.instrument.Tags;
import java.util.Objects;

/**
 * The key of a request counter.
 *
 * @param metric the metric
 * @param firstTagValue the value of the metric's first tag
 * @param secondTagValue the value of the metric's second tag; empty if it has none
 */
record CounterKey(Metric metric, String firstTagValue, String secondTagValue) {

    /** Rejects null components. */
    CounterKey {
        Objects.requireNonNull(metric, "metric");
        Objects.requireNonNull(firstTagValue, "firstTagValue");
        Objects.requireNonNull(secondTagValue, "secondTagValue");
    }

    Tags tags() {
        return metric.tags(firstTagValue, secondTagValue);
    }

    /** The metrics, with their names and tag names. */
    enum Metric {
        /** Requests that were refused without being sent. */
        REFUSED("whinhead.requests.refused", "reason", ""),
        /** Requests that were read during a graceful stop. */
        READ_WHILE_STOPPING("whinhead.requests.read.while.stopping", "kind", ""),
        /** Requests without an answer as a stopped daemon's last answers are due. */
        UNANSWERED_AT_EXIT("whinhead.requests.unanswered.at.exit", "kind", ""),
        /** Tokens of admitted requests. */
        TOKENS_ADMITTED("whinhead.tokens.admitted", "customer", ""),
        /** Attempts that ended without an answer. */
        ATTEMPT_FAILED("whinhead.attempts.failed", "verdict", "reason"),
        /** Connects to endpoints. */
        CONNECT("whinhead.endpoint.connects", "outcome", ""),
        /** Requests to other daemons to relay a connection to an endpoint. */
        RELAY("whinhead.endpoint.relays", "outcome", ""),
        /** Connections to endpoints that ended before anything of a response was received. */
        ENDED_UNANSWERED("whinhead.endpoint.connections.ended.unanswered", "service", "path"),
        /** Requests that endpoints rejected for want of room. */
        REJECTED("whinhead.endpoint.rejections", "service", ""),
        /** Requests that were not sent, as their service has no capacity for them. */
        NOT_ADMITTED("whinhead.requests.not.admitted", "service", "reason"),
        /** Requests refused, or not tried again, as no endpoint may get another connection. */
        WITHOUT_CONNECTION("whinhead.requests.without.connection", "service", ""),
        /** Requests that were sent to endpoints that name a limit of requests per second. */
        SENT_TO_LIMITED("whinhead.requests.to.limited.endpoints", "attempt", ""),
        /** Endpoints that have said in a response that they leave. */
        DEPARTURE_STATED("whinhead.endpoint.departures.stated", "service", ""),
        /** Requests that were sent to such endpoints. */
        SENT_TO_LEAVING("whinhead.requests.to.leaving.endpoints", "attempt", ""),
        /** Rejections with which endpoints asked for a pause. */
        PAUSE_REQUESTED("whinhead.endpoint.pauses.requested", "service", ""),
        /** Requests that were sent within such a pause. */
        SENT_WITHIN_PAUSE("whinhead.requests.within.pauses", "attempt", ""),
        /** Endpoints that crashed while they had requests of this daemon. */
        CRASHED("whinhead.endpoint.crashes", "service", ""),
        /** Responses that ended when their connection was closed. */
        ENDED_WITH_CONNECTION("whinhead.responses.ended.with.connection", "service", ""),
        /** Parts of responses, or instead of responses, that endpoints sent beyond a limit. */
        OVERLONG("whinhead.responses.overlong", "service", "part"),
        /** Responses with whose end bytes were received that don't belong to them. */
        LEFT_OVER("whinhead.responses.left.over", "service", "kind"),
        /** Heads of responses that contain another status line. */
        JOINED_HEAD("whinhead.responses.joined", "service", ""),
        /** Further attempts that the retry budget did not allow. */
        RETRY_DENIED("whinhead.retries.denied", "service", ""),
        /** Runs that were moved off leaving endpoints. */
        MOVED("whinhead.runs.moved", "answered", ""),
        /** Attempts that continue a stream after its first event. */
        STREAM_CONTINUED("whinhead.streams.continued", "by", "version"),
        /** Requests that have ended. */
        FINISHED("whinhead.requests.finished", "kind", "outcome"),
        /**
         * Requests that have ended within a time, as a cumulative histogram with bounds in
         * milliseconds.
         */
        TIME_WITHIN("whinhead.requests.within", "kind", "millis"),
        /** The sum of the durations of ended requests, in milliseconds. */
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
