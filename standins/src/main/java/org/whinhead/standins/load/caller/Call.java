package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.AnswerFault;
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.load.result.RequestResult;

/**
 * Runs one request with all of its attempts. After the loss of a daemon, the same body and identity
 * are sent to another one; a refused request is retried after the pause that the daemon requested.
 */
final class Call implements CallAttempt.Listener {

    private static final String ERROR_EVENT = "error";
    private static final Duration VERDICT_GRACE = Duration.ofSeconds(1);
    private static final int FIRST_ERROR_STATUS = 300;

    private final CallContext mContext;
    private final PlannedRequest mRequest;
    private final RequestWriter mWriter;
    private final DaemonSelector mDaemonSelector;
    private final CallProgress mProgress;
    private final long mDeadline;
    private final IdleTimeout mIdleTimeout;
    private final CompletableFuture<RequestResult> mResult = new CompletableFuture<>();

    private CallAttempt mAttempt;
    private boolean mEnded;
    private boolean mDeadlinePassed;
    private boolean mAttemptHasTokens;
    private ScheduledFuture<?> mDeadlineTimer;

    /**
     * Creates a call that is not started.
     *
     * @param context the dependencies that all calls share
     * @param addresses the address cache of the customer
     * @param request the request
     * @param startedAt the intended start, in nanoseconds
     */
    Call(
            final CallContext context,
            final AddressCache addresses,
            final PlannedRequest request,
            final long startedAt) {
        mContext = context;
        mRequest = request;
        mWriter = new RequestWriter(context.mapper(), request);
        mDaemonSelector = new DaemonSelector(addresses, request.id().value().hashCode());
        mProgress = new CallProgress(request, startedAt);
        mIdleTimeout = new IdleTimeout(context.timers(), context.nanoClock());
        mDeadline = startedAt + context.config().deadline().toNanos();
    }

    /** Starts the first attempt; the future completes with the result, never with an exception. */
    synchronized CompletableFuture<RequestResult> start() {
        mDeadlineTimer = schedule(this::onDeadline, mDeadline - now());
        startAttempt();
        return mResult;
    }

    @Override
    public synchronized void onAnswerStarted(final CallAttempt attempt) {
        if (!isCurrent(attempt)) {
            return;
        }
        mProgress.recordAccepted();
        if (mDeadlinePassed) {
            end(RequestOutcome.LOST);
        }
    }

    @Override
    public synchronized void onTicket(final CallAttempt attempt, final String ticket) {
        if (isCurrent(attempt)) {
            mProgress.recordTicket(ticket);
        }
    }

    @Override
    public void onLine(final CallAttempt attempt) {
        mIdleTimeout.recordActivity();
    }

    @Override
    public synchronized void onEvent(final CallAttempt attempt, final ReceivedSseEvent event) {
        if (!isCurrent(attempt)) {
            return;
        }
        if (event.data().equals(AnswerJson.END_OF_STREAM)) {
            endAnswer(mProgress.answerVerifier().verifyEnd());
            return;
        }
        try {
            final JsonNode data = mContext.mapper().readTree(event.data());
            if (event.name().equals(ERROR_EVENT)) {
                handleStreamError(DaemonError.of(data));
            } else {
                handleToken(event, AnswerJson.token(data));
            }
        } catch (final JsonProcessingException e) {
            endAnswer(Optional.of(AnswerFault.FOREIGN));
        }
    }

    @Override
    public synchronized void onResponse(
            final CallAttempt attempt, final HttpResponse<String> response) {
        if (!isCurrent(attempt)) {
            return;
        }
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            handleRefusal(DaemonError.of(response, mContext.mapper()));
        } else if (mRequest.kind().style().isStreamed()) {
            retryOnOtherDaemon(); // the stream ended without its last event
        } else {
            handleWholeAnswer(response.body());
        }
    }

    @Override
    public synchronized void onFailure(final CallAttempt attempt, final Throwable cause) {
        if (!isCurrent(attempt)) {
            return;
        }
        if (isConnectFailure(cause)) {
            mDaemonSelector.markLost();
            scheduleAttempt(mDaemonSelector.nextBackoff());
        } else {
            retryOnOtherDaemon();
        }
    }

    private void startAttempt() {
        mAttempt = null;
        mDaemonSelector
                .select()
                .whenComplete(
                        (daemon, error) -> {
                            if (error != null) {
                                scheduleAttempt(mContext.config().connectTimeout());
                            } else {
                                send(daemon);
                            }
                        });
    }

    private synchronized void send(final Optional<URI> daemon) {
        if (mEnded) {
            return;
        }
        if (daemon.isEmpty()) {
            scheduleAttempt(mContext.config().connectTimeout());
            return;
        }
        mProgress.recordAttempt();
        mAttemptHasTokens = false;
        final CallAttempt attempt = new CallAttempt(this);
        mAttempt = attempt;
        mIdleTimeout.start(mContext.config().answerSilence(), () -> onIdleTimeout(attempt));
        attempt.send(
                mContext.client(),
                mWriter.requestTo(
                        daemon.get(),
                        mProgress.ticket(),
                        mProgress.answerVerifier().receivedTokens(),
                        mProgress.mayHaveRun()));
    }

    private synchronized void scheduleAttempt(final Duration pause) {
        mAttempt = null;
        if (mDeadlinePassed) {
            end(mProgress.outcomeAtDeadline(false));
        } else if (!mEnded) {
            schedule(this::startAttemptUnlessEnded, pause.toNanos());
        }
    }

    private synchronized void startAttemptUnlessEnded() {
        if (!mEnded) {
            startAttempt();
        }
    }

    private void handleToken(final ReceivedSseEvent event, final String text) {
        if (text.isEmpty()) {
            return; // the last event may carry only the finish reason and the usage
        }
        final AnswerVerifier verifier = mProgress.answerVerifier();
        final Optional<AnswerFault> fault =
                verifier.verifyToken(event.id().orElse(verifier.receivedCount()), text);
        if (fault.isPresent()) {
            endAnswer(fault);
            return;
        }
        if (!mAttemptHasTokens) {
            mAttemptHasTokens = true;
            final CallAttempt attempt = mAttempt;
            mIdleTimeout.start(mContext.config().streamSilence(), () -> onIdleTimeout(attempt));
        }
        mProgress.recordToken(now()).ifPresent(mContext.observer()::onTokenInterval);
    }

    private void handleWholeAnswer(final String body) {
        mProgress.recordAccepted();
        try {
            final JsonNode answer = mContext.mapper().readTree(body);
            endAnswer(
                    mRequest.kind().style().isPlainService()
                            ? mWriter.faultOf(answer)
                            : mProgress.answerVerifier().verifyWhole(AnswerJson.content(answer)));
        } catch (final JsonProcessingException e) {
            endAnswer(Optional.of(AnswerFault.FOREIGN));
        }
    }

    private void endAnswer(final Optional<AnswerFault> fault) {
        fault.ifPresent(mProgress::recordFault);
        end(fault.isPresent() ? RequestOutcome.WRONG : RequestOutcome.COMPLETED);
    }

    /** Handles an error event; the verdict "not run" is false if the attempt delivered tokens. */
    private void handleStreamError(final DaemonError error) {
        if (mAttemptHasTokens && error.verdict() == Verdict.NOT_RUN) {
            endAnswer(Optional.of(AnswerFault.FALSE_VERDICT));
        } else {
            handleRefusal(error);
        }
    }

    private void handleRefusal(final DaemonError error) {
        mProgress.recordRefusal(error);
        if (error.isDaemonStopping()) {
            mDaemonSelector.markLost();
            scheduleAttempt(mDaemonSelector.nextBackoff());
            return;
        }
        switch (error.verdict()) {
            case NOT_RUN -> retryOrEndRefused(error);
            case MAY_HAVE_RUN -> end(mProgress.outcomeIfRefused());
            case RAN -> {
                mProgress.recordAccepted();
                end(RequestOutcome.FAILED_RAN);
            }
            default -> throw new IllegalStateException("unknown verdict " + error.verdict());
        }
    }

    private void retryOrEndRefused(final DaemonError error) {
        final Optional<Duration> pause = error.retryAfter();
        if (pause.isPresent() && now() + pause.get().toNanos() < mDeadline) {
            scheduleAttempt(pause.get());
        } else {
            end(mProgress.outcomeIfRefused());
        }
    }

    /**
     * Retries at another daemon after a connection broke when the request may have been sent. The
     * ticket, request id or idempotency key identifies the retry, so the request does not run
     * twice.
     */
    private void retryOnOtherDaemon() {
        mProgress.recordInconclusiveAttempt();
        mDaemonSelector.markLost();
        scheduleAttempt(mDaemonSelector.nextBackoff());
    }

    private synchronized void onIdleTimeout(final CallAttempt attempt) {
        if (isCurrent(attempt)) {
            attempt.close();
            retryOnOtherDaemon();
        }
    }

    /**
     * Stops sending at the deadline. An attempt that is not accepted yet gets a grace period to
     * receive its verdict; without it, a request whose refusal is in transit would count as lost.
     */
    private synchronized void onDeadline() {
        if (mEnded) {
            return;
        }
        if (mAttempt == null || mProgress.isAccepted()) {
            end(mProgress.outcomeAtDeadline(mAttempt != null));
            return;
        }
        mDeadlinePassed = true;
        mDeadlineTimer = schedule(this::onVerdictTimeout, VERDICT_GRACE.toNanos());
    }

    private synchronized void onVerdictTimeout() {
        if (!mEnded) {
            end(mProgress.outcomeAtDeadline(true));
        }
    }

    private void end(final RequestOutcome outcome) {
        mEnded = true;
        mDeadlineTimer.cancel(false);
        mIdleTimeout.cancel();
        if (mAttempt != null && outcome != RequestOutcome.COMPLETED) {
            mAttempt.close();
        }
        final RequestResult result = mProgress.result(outcome, now());
        mContext.observer().onRequestEnded(result);
        mResult.complete(result);
    }

    private boolean isCurrent(final CallAttempt attempt) {
        return !mEnded && attempt == mAttempt;
    }

    private static boolean isConnectFailure(final Throwable cause) {
        for (Throwable current = cause; current != null; current = current.getCause()) {
            if (current instanceof ConnectException
                    || current instanceof HttpConnectTimeoutException) {
                return true;
            }
        }
        return false;
    }

    private ScheduledFuture<?> schedule(final Runnable task, final long nanos) {
        return mContext.timers().schedule(task, Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }

    private long now() {
        return mContext.nanoClock().getAsLong();
    }
}
