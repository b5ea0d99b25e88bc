package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.ratelimit.LimitStatement;
import org.whinhead.serving.ratelimit.RequestRateLimit;

/**
 * Logs and counts what endpoints say of themselves in their responses, and the requests that are
 * sent to endpoints that have said something.
 */
final class StatementLogger {

    private static final Logger LOG = LoggerFactory.getLogger(StatementLogger.class);

    private final InstantSource mClock;
    private final RequestMetrics mCounts;

    /**
     * Creates a logger.
     *
     * @param clock the monotonic clock
     * @param counts the counters of the metrics
     */
    StatementLogger(final InstantSource clock, final RequestMetrics counts) {
        mClock = Objects.requireNonNull(clock, "clock");
        mCounts = Objects.requireNonNull(counts, "counts");
    }

    /** Logs that a brittle endpoint has rejected a request for want of room. */
    void rejected(final EndpointEntry endpoint, final OptionalInt rejectionLimit) {
        mCounts.recordRejection(endpoint.service());
        if (rejectionLimit.isPresent()) {
            LOG.atInfo()
                    .addKeyValue("endpoint", endpoint.id())
                    .addKeyValue("service", endpoint.service())
                    .addKeyValue("rejectionLimit", rejectionLimit.getAsInt())
                    .log("brittle endpoint rejected a request");
        }
    }

    /**
     * Logs that an endpoint names a limit of requests per second, another one, or none any more.
     */
    void limitStated(
            final EndpointEntry endpoint, final LimitStatement statement, final Instant sentAt) {
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("perSecond", perSecond(statement.limit()))
                .addKeyValue("revision", statement.revision())
                .addKeyValue(
                        "requestAgeMillis", Duration.between(sentAt, mClock.instant()).toMillis())
                .log("request limit of endpoint changed");
    }

    /** Logs that an endpoint has said for the first time that it leaves. */
    void departureStated(
            final EndpointEntry endpoint,
            final EndpointResponse response,
            final String requestId,
            final Instant sentAt,
            final boolean wasLeaving) {
        mCounts.recordDepartureStated(endpoint.service());
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("request", requestId)
                .addKeyValue("status", response.status().code())
                .addKeyValue(
                        "requestAgeMillis", Duration.between(sentAt, mClock.instant()).toMillis())
                .addKeyValue("wasLeaving", wasLeaving)
                .log("endpoint says that it leaves");
    }

    /** Logs a request to an endpoint that had said that it leaves. */
    void sentToLeaving(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final AttemptReason attempt,
            final Duration knownFor,
            final boolean wasLeaving) {
        mCounts.recordSentToLeaving(attempt.name());
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("attempt", attempt)
                .addKeyValue("knownMillis", knownFor.toMillis())
                .addKeyValue("wasLeaving", wasLeaving)
                .log("request sent to endpoint that leaves");
    }

    /** Logs that an endpoint has turned a request away and asked for a pause. */
    void pauseRequested(
            final EndpointEntry endpoint,
            final EndpointResponse response,
            final String requestId,
            final Duration length) {
        mCounts.recordPauseRequested(endpoint.service());
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("request", requestId)
                .addKeyValue("status", response.status().code())
                .addKeyValue("pauseMillis", length.toMillis())
                .log("endpoint asks for pause");
    }

    /** Logs a request to an endpoint within the pause for which it had asked. */
    void sentWithinPause(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final AttemptReason attempt,
            final Duration knownFor,
            final Duration left) {
        mCounts.recordSentWithinPause(attempt.name());
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("attempt", attempt)
                .addKeyValue("knownMillis", knownFor.toMillis())
                .addKeyValue("leftMillis", left.toMillis())
                .log("request sent to endpoint within its pause");
    }

    private static String perSecond(final Optional<RequestRateLimit> limit) {
        return limit.map(RequestRateLimit::perSecond).map(String::valueOf).orElse("none");
    }

    /** Logs a request to an endpoint that names a limit, and for how long this daemon knows it. */
    void sentToLimited(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final AttemptReason attempt,
            final LimitStatement statement,
            final Duration knownFor) {
        mCounts.recordSentToLimited(attempt.name());
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("attempt", attempt)
                .addKeyValue("perSecond", perSecond(statement.limit()))
                .addKeyValue("knownMillis", knownFor.toMillis())
                .log("request sent to endpoint with request limit");
    }
}
