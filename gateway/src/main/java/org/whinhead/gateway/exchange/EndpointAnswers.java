package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;
import org.whinhead.serving.ratelimit.LimitStatement;
import org.whinhead.serving.ratelimit.StatedLimits;

/**
 * Takes in what endpoints say of themselves in the heads of their responses: that they leave, want
 * a pause, are brittle, or take a number of requests per second.
 */
public final class EndpointAnswers {

    /** Stands for the id of a request in log lines about the answer to a health check. */
    private static final String HEALTH_CHECK = "health check";

    private final ServingState mState;
    private final StatementLogger mLogger;
    private Consumer<EndpointStart> mOnDeparture = departure -> {};
    private Consumer<String> mOnPause = endpoint -> {};
    private Consumer<EndpointEntry> mOnRejection = endpoint -> {};
    private Consumer<LimitStatement> mOnLimitStatement = statement -> {};

    EndpointAnswers(final ServingState state, final StatementLogger logger) {
        mState = Objects.requireNonNull(state, "state");
        mLogger = Objects.requireNonNull(logger, "logger");
    }

    /**
     * Sets the handler of endpoints that say that they leave.
     *
     * @param onDeparture receives the start of an endpoint that did not count as leaving
     */
    public void onDeparture(final Consumer<EndpointStart> onDeparture) {
        mOnDeparture = onDeparture;
    }

    /**
     * Sets the handler of endpoints that ask this daemon for a pause.
     *
     * @param onPause receives the endpoint's id
     */
    public void onPause(final Consumer<String> onPause) {
        mOnPause = onPause;
    }

    /**
     * Sets the handler of brittle endpoints that have rejected a request for want of room.
     *
     * @param onRejection receives the endpoint, once for each pause that follows
     */
    public void onRejection(final Consumer<EndpointEntry> onRejection) {
        mOnRejection = onRejection;
    }

    /**
     * Sets the handler of endpoints that name a limit of requests per second, another one, or none
     * any more.
     *
     * @param onLimitStatement receives what the endpoint says if it is new
     */
    public void onLimitStatement(final Consumer<LimitStatement> onLimitStatement) {
        mOnLimitStatement = onLimitStatement;
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /**
     * Records what the head of an answer says about its endpoint, unless it names another request.
     *
     * @param endpoint the endpoint
     * @param response the head
     * @param requestId the id of the request
     * @param sentAt the time at which it was sent
     */
    void record(
            final EndpointEntry endpoint,
            final EndpointResponse response,
            final String requestId,
            final Instant sentAt) {
        if (response.namesOtherRequest(requestId)) {
            return;
        }
        if (response.isFromEndpoint(requestId)) {
            recordDeparture(endpoint, response, requestId, sentAt);
            recordPause(endpoint, response, requestId);
            if (!response.hasRejectionStatus()) {
                mState.pauses().recordAnswered(endpoint, sentAt);
            }
        }
        if (response.isStatementOfEndpoint(requestId)) {
            recordLimit(endpoint, response, sentAt);
        }
        recordRejection(endpoint, response);
    }

    private void recordDeparture(
            final EndpointEntry endpoint,
            final EndpointResponse response,
            final String requestId,
            final Instant sentAt) {
        final EndpointStart start = EndpointStart.of(endpoint);
        if (!response.statements().leaving() || !mState.departures().add(start, now())) {
            return;
        }
        final boolean wasLeaving = mState.endpoints().isLeaving(endpoint.id());
        mLogger.departureStated(endpoint, response, requestId, sentAt, wasLeaving);
        mState.leaving().remove(endpoint.id());
        if (!wasLeaving) {
            mOnDeparture.accept(start);
        }
    }

    /**
     * Records what the head of a health check's answer says about its endpoint.
     *
     * @param endpoint the endpoint, which has sent the answer itself
     * @param response the head
     */
    public void recordHealth(final EndpointEntry endpoint, final EndpointResponse response) {
        recordDeparture(endpoint, response, HEALTH_CHECK, now());
        recordPause(endpoint, response, HEALTH_CHECK);
    }

    private void recordPause(
            final EndpointEntry endpoint, final EndpointResponse response, final String requestId) {
        response.requestedPause()
                .ifPresent(
                        length -> {
                            mLogger.pauseRequested(endpoint, response, requestId, length);
                            pauseRequested(endpoint.id(), length);
                        });
    }

    /**
     * Records that an endpoint wants nothing from this daemon for a time.
     *
     * @param endpoint the endpoint's id
     * @param length the time, above zero
     */
    public void pauseRequested(final String endpoint, final Duration length) {
        mState.pauses().add(endpoint, length, now());
        mOnPause.accept(endpoint);
    }

    private void recordLimit(
            final EndpointEntry endpoint, final EndpointResponse response, final Instant sentAt) {
        mState.requestLimits()
                .recordAnswer(endpoint, response.statements().rateLimit(), sentAt, now())
                .ifPresent(
                        statement -> {
                            mLogger.limitStated(endpoint, statement, sentAt);
                            mOnLimitStatement.accept(statement);
                        });
    }

    private void recordRejection(final EndpointEntry endpoint, final EndpointResponse response) {
        final Instant now = now();
        mState.brittle().recordAnswer(endpoint, response.statements().rejectionLimit(), now);
        if (!response.isRejection()) {
            return;
        }
        if (mState.pools().admitsByWait()) {
            mState.admission().recordRejection(endpoint.service(), now);
        }
        mLogger.rejected(endpoint, response.statements().rejectionLimit());
        if (mState.brittle().recordRejection(endpoint, now)) {
            mOnRejection.accept(endpoint);
        }
    }

    /** Records a request that is about to be sent, and logs what its endpoint has said on it. */
    void recordSent(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final AttemptReason attempt) {
        logSentToLimited(admission, endpoint, attempt);
        final Instant now = now();
        mState.departures()
                .knownFor(EndpointStart.of(endpoint), now)
                .ifPresent(
                        known ->
                                mLogger.sentToLeaving(
                                        admission,
                                        endpoint,
                                        attempt,
                                        known,
                                        mState.endpoints().isLeaving(endpoint.id())));
        mState.pauses()
                .left(endpoint.id(), now)
                .ifPresent(
                        left ->
                                mLogger.sentWithinPause(
                                        admission,
                                        endpoint,
                                        attempt,
                                        mState.pauses()
                                                .knownFor(endpoint.id(), now)
                                                .orElse(Duration.ZERO),
                                        left));
        mState.pauses().recordSent(endpoint.id(), now);
    }

    private void logSentToLimited(
            final AdmittedRequest admission,
            final EndpointEntry endpoint,
            final AttemptReason attempt) {
        final StatedLimits limits = mState.requestLimits();
        final Optional<LimitStatement> limited =
                limits.statement(endpoint.id()).filter(statement -> statement.limit().isPresent());
        limited.ifPresent(
                statement ->
                        mLogger.sentToLimited(
                                admission,
                                endpoint,
                                attempt,
                                statement,
                                Duration.between(
                                        limits.knownSince(endpoint.id()).orElseThrow(), now())));
    }
}
