package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.gateway.endpoint.EndpointConnection;
import org.whinhead.gateway.endpoint.MoveOutcome;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.admission.AdmissionDecision;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.configuration.ConfigurationProgress;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.stream.StreamOrigin;

/** Logs one line for each decision about a request, with the request's id. */
public final class RequestLogger {

    private static final Logger LOG = LoggerFactory.getLogger(RequestLogger.class);

    private final InstantSource mClock;
    private final RequestMetrics mCounts;
    private final ConfigurationProgress mConfiguration;
    private final StatementLogger mStatements;
    private final StopLogger mStops;

    /**
     * Creates a logger.
     *
     * @param clock the monotonic clock
     * @param counts the counters of the metrics
     * @param configuration the version that refusals follow
     */
    public RequestLogger(
            final InstantSource clock,
            final RequestMetrics counts,
            final ConfigurationProgress configuration) {
        mClock = clock;
        mCounts = counts;
        mConfiguration = configuration;
        mStatements = new StatementLogger(clock, counts);
        mStops = new StopLogger(clock, counts);
    }

    /** Returns the logger of what endpoints say of themselves. */
    StatementLogger statements() {
        return mStatements;
    }

    /** Returns the logger of the requests that a graceful stop meets. */
    StopLogger stops() {
        return mStops;
    }

    void refused(
            final CallerRequest request,
            final Optional<UnmetClaim> claim,
            final RefusalResponse refusal) {
        mCounts.recordRefused(refusal.reason());
        final LoggingEventBuilder line =
                LOG.atInfo()
                        .addKeyValue("request", request.id())
                        .addKeyValue("status", refusal.status().code())
                        .addKeyValue("reason", refusal.reason());
        request.resumedRequest().ifPresent(first -> line.addKeyValue("resumedRequest", first));
        claim.ifPresent(unmet -> unmet.addTo(line));
        addConfiguration(line).log("request refused");
    }

    /** Adds the version in force and its age, and a newer one that other daemons have. */
    private LoggingEventBuilder addConfiguration(final LoggingEventBuilder line) {
        final Instant now = mClock.instant();
        final Duration age = mConfiguration.inForceFor(now).orElse(Duration.ZERO);
        line.addKeyValue("configurationVersion", mConfiguration.version())
                .addKeyValue("configurationAgeMillis", age.toMillis());
        if (mConfiguration.isBehind()) {
            line.addKeyValue("newestVersion", mConfiguration.newestVersion())
                    .addKeyValue("behindMillis", mConfiguration.behindFor(now).toMillis());
        }
        return line;
    }

    void admitted(final CustomerAccount customer, final long tokens) {
        mCounts.recordAdmitted(customer.name(), tokens);
    }

    void overAllowance(
            final CallerRequest request, final UnmetClaim claim, final Duration retryAfter) {
        final TokenAllowance allowance = claim.customer().allowance();
        claim.addTo(LOG.atInfo().addKeyValue("request", request.id()))
                .addKeyValue("comeBackAfter", retryAfter)
                .addKeyValue("ratePerSecond", allowance.tokensPerSecond())
                .addKeyValue("burst", allowance.burstTokens())
                .log("customer is over its allowance");
    }

    void attemptFailed(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final Verdict verdict,
            final String reason,
            final boolean forwarded) {
        mCounts.recordFailedAttempt(verdict, reason);
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("route", admission.route().name())
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("version", endpoint.version())
                .addKeyValue("verdict", verdict.wireName())
                .addKeyValue("reason", reason)
                .addKeyValue("forwarded", forwarded)
                .log("attempt failed");
    }

    /**
     * Logs that an attempt is given up without a response, and how long its connection has existed
     * and received nothing.
     */
    void attemptUnanswered(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final Optional<EndpointConnection> connection) {
        final LoggingEventBuilder line =
                LOG.atInfo()
                        .addKeyValue("request", admission.request().id())
                        .addKeyValue("route", admission.route().name())
                        .addKeyValue("endpoint", endpoint.id())
                        .addKeyValue("connected", connection.isPresent());
        connection.ifPresent(
                used ->
                        line.addKeyValue("connectionAgeMillis", used.age().toMillis())
                                .addKeyValue("silentMillis", used.silentFor().toMillis()));
        line.log("attempt not answered");
    }

    /** Logs that a request was in progress on an endpoint that has crashed. */
    void wasOnCrashed(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final LostAttempt attempt) {
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("route", admission.route().name())
                .addKeyValue("customer", admission.customerName().orElse(""))
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("ageMillis", attempt.age().toMillis())
                .addKeyValue("begun", attempt.begun())
                .addKeyValue("levels", attempt.levels())
                .log("request was on endpoint that crashed");
    }

    /** Logs that a request is not sent as endpoints crashed under requests like it. */
    void heldBack(
            final AdmittedRequest admission,
            final Map<String, Integer> levels,
            final Duration retryAfter) {
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("route", admission.route().name())
                .addKeyValue("customer", admission.customerName().orElse(""))
                .addKeyValue("levels", levels)
                .addKeyValue("comeBackAfter", retryAfter)
                .log("request held back");
    }

    /** Logs that a response without a length ended when its connection was closed. */
    void endedWithConnection(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final ResponseRelay relay) {
        mCounts.recordEndedWithConnection(endpoint.service());
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("begun", relay.isStarted())
                .addKeyValue("withinEvent", !relay.isComplete())
                .log("response ended with its connection");
    }

    /** Logs that a request was answered that had features of requests on crashed endpoints. */
    void cleared(final AdmittedRequest admission, final int features) {
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("features", features)
                .log("suspected request was answered");
    }

    /** Logs that no connection may be opened for a request. */
    void withoutConnection(
            final AdmittedRequest admission, final String service, final int endpoints) {
        mCounts.recordWithoutConnection(service);
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("service", service)
                .addKeyValue("endpoints", endpoints)
                .log("no connection left for request");
    }

    /** Logs that a request waited at this daemon for slots. */
    void held(
            final AdmittedRequest admission,
            final String service,
            final Duration heldFor,
            final String outcome) {
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("route", admission.route().name())
                .addKeyValue("customer", admission.customerName().orElse(""))
                .addKeyValue("service", service)
                .addKeyValue("rank", admission.route().priority())
                .addKeyValue("millis", heldFor.toMillis())
                .addKeyValue("outcome", outcome)
                .log("request waited for slots");
    }

    /** Logs that a request is refused as its service has no capacity for it. */
    void notAdmitted(
            final AdmittedRequest admission,
            final String service,
            final AdmissionDecision decision) {
        mCounts.recordNotAdmitted(service, decision.reason());
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("route", admission.route().name())
                .addKeyValue("customer", admission.customerName().orElse(""))
                .addKeyValue("service", service)
                .addKeyValue("rank", admission.route().priority())
                .addKeyValue("reason", decision.reason())
                .addKeyValue("comeBackAfter", decision.retryAfter())
                .log("request not admitted");
    }

    void retryDenied(final String service) {
        mCounts.recordRetryDenied(service);
    }

    void moved(
            final AdmittedRequest admission,
            final EndpointEntry source,
            final Placement target,
            final MoveOutcome outcome,
            final Throwable failure) {
        mCounts.recordMoved(failure == null);
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("source", source.id())
                .addKeyValue("sourceVersion", source.version())
                .addKeyValue("target", target.endpoint().id())
                .addKeyValue("targetVersion", target.endpoint().version())
                .addKeyValue("outcome", String.valueOf(outcome))
                .addKeyValue("failure", String.valueOf(failure))
                .log("run moved");
    }

    /** Logs that an attempt continues a stream, and at which version it began. */
    void streamContinued(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final StreamContinuation by,
            final StreamOrigin origin) {
        mCounts.recordStreamContinued(by.name(), origin.matches(endpoint));
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("resumedRequest", admission.request().resumedRequest().orElse(""))
                .addKeyValue("resumeAfter", admission.request().resumeAfter().orElse(""))
                .addKeyValue("by", by)
                .addKeyValue("firstVersion", origin.version())
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("version", endpoint.version())
                .log("stream continued");
    }

    void finished(
            final AdmittedRequest admission,
            final Placement placement,
            final int sends,
            final String outcome,
            final int status) {
        final String endpoint = placement == null ? "" : placement.endpoint().id();
        final Duration taken = Duration.between(admission.arrivedAt(), mClock.instant());
        mCounts.recordFinished(admission.route().kind(), outcome, taken);
        LOG.atInfo()
                .addKeyValue("request", admission.request().id())
                .addKeyValue("route", admission.route().name())
                .addKeyValue("customer", admission.customerName().orElse(""))
                .addKeyValue("endpoint", endpoint)
                .addKeyValue("sends", sends)
                .addKeyValue("status", status)
                .addKeyValue("millis", taken.toMillis())
                .addKeyValue("outcome", outcome)
                .log("request finished");
    }
}
