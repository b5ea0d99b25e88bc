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
import org.whinhead.standins.load.result.Outcome;
import org.whinhead.standins.load.result.RequestResult;

/**
 * One request from its first try to its end. A lost daemon is replaced by another one, which gets
 * the same body and identity; a refused request comes back when it was told to.
 */
final class Call implements Attempt.Listener {

    private static final String ERROR_EVENT = "error";
    private static final Duration VERDICT_GRACE = Duration.ofSeconds(1);
    private static final int FIRST_ERROR_STATUS = 300;

    private final CallTools mTools;
    private final PlannedRequest mRequest;
    private final RequestWriter mWriter;
    private final DaemonChoice mChoice;
    private final CallProgress mProgress;
    private final long mDeadline;
    private final SilenceWatch mSilence;
    private final CompletableFuture<RequestResult> mResult = new CompletableFuture<>();

    private Attempt mAttempt;
    private boolean mEnded;
    private boolean mLate;
    private boolean mTokensInAttempt;
    private ScheduledFuture<?> mDeadlineTimer;

    /**
     * Makes a call that has not begun.
     *
     * @param tools what all calls share
     * @param book the customer's addresses
     * @param request the request
     * @param startedAt when it was meant to start, in nanoseconds
     */
    Call(
            final CallTools tools,
            final AddressBook book,
            final PlannedRequest request,
            final long startedAt) {
        mTools = tools;
        mRequest = request;
        mWriter = new RequestWriter(tools.mapper(), request);
        mChoice = new DaemonChoice(book, request.id().value().hashCode());
        mProgress = new CallProgress(request, startedAt);
        mSilence = new SilenceWatch(tools.timers(), tools.nanos());
        mDeadline = startedAt + tools.config().deadline().toNanos();
    }

    /** Begins; the future completes with what became of the request, never with an error. */
    synchronized CompletableFuture<RequestResult> begin() {
        mDeadlineTimer = schedule(this::deadlinePassed, mDeadline - now());
        tryNext();
        return mResult;
    }

    @Override
    public synchronized void began(final Attempt attempt) {
        if (!isCurrent(attempt)) {
            return;
        }
        mProgress.accepted();
        if (mLate) {
            end(Outcome.LOST);
        } else if (mRequest.kind().style().streamed()) {
            mSilence.begin(mTools.config().streamSilence(), () -> silent(attempt));
        }
    }

    @Override
    public synchronized void ticket(final Attempt attempt, final String ticket) {
        if (isCurrent(attempt)) {
            mProgress.ticket(ticket);
        }
    }

    @Override
    public void alive(final Attempt attempt) {
        mSilence.alive();
    }

    @Override
    public synchronized void event(final Attempt attempt, final SseEvent event) {
        if (!isCurrent(attempt)) {
            return;
        }
        if (event.data().equals(TokenEvent.DONE)) {
            endAnswer(mProgress.check().end());
            return;
        }
        try {
            final JsonNode data = mTools.mapper().readTree(event.data());
            if (event.name().equals(ERROR_EVENT)) {
                streamFailed(DaemonError.of(data));
            } else {
                token(event, TokenEvent.token(data));
            }
        } catch (final JsonProcessingException e) {
            endAnswer(Optional.of(AnswerFault.FOREIGN));
        }
    }

    @Override
    public synchronized void over(final Attempt attempt, final HttpResponse<String> response) {
        if (!isCurrent(attempt)) {
            return;
        }
        if (response.statusCode() >= FIRST_ERROR_STATUS) {
            refused(DaemonError.of(response, mTools.mapper()));
        } else if (mRequest.kind().style().streamed()) {
            daemonLost(); // the stream ended cleanly, but before its last event
        } else {
            answered(response.body());
        }
    }

    @Override
    public synchronized void broken(final Attempt attempt, final Throwable cause) {
        if (!isCurrent(attempt)) {
            return;
        }
        if (neverConnected(cause)) {
            mChoice.lost();
            tryLater(mChoice.pause());
        } else {
            daemonLost();
        }
    }

    private void tryNext() {
        mAttempt = null;
        mChoice.next()
                .whenComplete(
                        (daemon, error) -> {
                            if (error != null) {
                                tryLater(mTools.config().connectTimeout());
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
            tryLater(mTools.config().connectTimeout());
            return;
        }
        mProgress.sent();
        mTokensInAttempt = false;
        final Attempt attempt = new Attempt(this);
        mAttempt = attempt;
        mSilence.begin(mTools.config().answerSilence(), () -> silent(attempt));
        attempt.send(
                mTools.client(),
                mWriter.to(
                        daemon.get(),
                        mProgress.ticket(),
                        mProgress.check().receivedTokens(),
                        mProgress.mayHaveRun()));
    }

    private synchronized void tryLater(final Duration pause) {
        mAttempt = null;
        if (mLate) {
            end(mProgress.outcomeAtDeadline(false));
        } else if (!mEnded) {
            schedule(this::tryNextUnlessEnded, pause.toNanos());
        }
    }

    private synchronized void tryNextUnlessEnded() {
        if (!mEnded) {
            tryNext();
        }
    }

    private void token(final SseEvent event, final String text) {
        if (text.isEmpty()) {
            return; // the last event may carry only the reason and the usage
        }
        final AnswerCheck check = mProgress.check();
        final Optional<AnswerFault> fault = check.token(event.id().orElse(check.received()), text);
        if (fault.isPresent()) {
            endAnswer(fault);
            return;
        }
        mTokensInAttempt = true;
        mProgress.token(now()).ifPresent(mTools.observer()::betweenTokens);
    }

    private void answered(final String body) {
        mProgress.accepted();
        try {
            final JsonNode answer = mTools.mapper().readTree(body);
            endAnswer(
                    mRequest.kind().style().plain()
                            ? mWriter.faultOf(answer)
                            : mProgress.check().whole(TokenEvent.content(answer)));
        } catch (final JsonProcessingException e) {
            endAnswer(Optional.of(AnswerFault.FOREIGN));
        }
    }

    private void endAnswer(final Optional<AnswerFault> fault) {
        fault.ifPresent(mProgress::wrong);
        end(fault.isPresent() ? Outcome.WRONG : Outcome.COMPLETED);
    }

    /** A failure after the answer began; "not run" is false once a token came. */
    private void streamFailed(final DaemonError error) {
        if (mTokensInAttempt && error.verdict() == Verdict.NOT_RUN) {
            endAnswer(Optional.of(AnswerFault.FALSE_VERDICT));
        } else {
            refused(error);
        }
    }

    private void refused(final DaemonError error) {
        mProgress.refused(error);
        if (error.stopping()) {
            mChoice.lost();
            tryLater(mChoice.pause());
            return;
        }
        switch (error.verdict()) {
            case NOT_RUN -> comeBack(error);
            case MAY_HAVE_RUN -> end(mProgress.outcomeIfRefused());
            case RAN -> {
                mProgress.accepted();
                end(Outcome.FAILED_RAN);
            }
            default -> throw new IllegalStateException("unknown verdict " + error.verdict());
        }
    }

    private void comeBack(final DaemonError error) {
        final Optional<Duration> pause = error.retryAfter();
        if (pause.isPresent() && now() + pause.get().toNanos() < mDeadline) {
            tryLater(pause.get());
        } else {
            end(mProgress.outcomeIfRefused());
        }
    }

    /**
     * The connection broke after the request may have left. The same body with the same identity
     * goes to another daemon: the ticket, the identity or the idempotency key tells that daemon
     * that it is not a new request, so nothing runs twice.
     */
    private void daemonLost() {
        mProgress.cut();
        mChoice.lost();
        tryLater(mChoice.pause());
    }

    private synchronized void silent(final Attempt attempt) {
        if (isCurrent(attempt)) {
            attempt.close();
            daemonLost();
        }
    }

    /**
     * Nothing is sent any more. A try that no daemon has taken yet gets a short while to hear its
     * verdict: without that, a refusal on its way would make the request look lost.
     */
    private synchronized void deadlinePassed() {
        if (mEnded) {
            return;
        }
        if (mAttempt == null || mProgress.isAccepted()) {
            end(mProgress.outcomeAtDeadline(mAttempt != null));
            return;
        }
        mLate = true;
        mDeadlineTimer = schedule(this::verdictMissing, VERDICT_GRACE.toNanos());
    }

    private synchronized void verdictMissing() {
        if (!mEnded) {
            end(mProgress.outcomeAtDeadline(true));
        }
    }

    private void end(final Outcome outcome) {
        mEnded = true;
        mDeadlineTimer.cancel(false);
        mSilence.end();
        if (mAttempt != null && outcome != Outcome.COMPLETED) {
            mAttempt.close();
        }
        final RequestResult result = mProgress.result(outcome, now());
        mTools.observer().ended(result);
        mResult.complete(result);
    }

    private boolean isCurrent(final Attempt attempt) {
        return !mEnded && attempt == mAttempt;
    }

    private static boolean neverConnected(final Throwable cause) {
        for (Throwable one = cause; one != null; one = one.getCause()) {
            if (one instanceof ConnectException || one instanceof HttpConnectTimeoutException) {
                return true;
            }
        }
        return false;
    }

    private ScheduledFuture<?> schedule(final Runnable task, final long nanos) {
        return mTools.timers().schedule(task, Math.max(0, nanos), TimeUnit.NANOSECONDS);
    }

    private long now() {
        return mTools.nanos().getAsLong();
    }
}
