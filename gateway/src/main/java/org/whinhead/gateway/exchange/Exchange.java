package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.CallerRequestHandler;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.gateway.endpoint.EndpointConnection;
import org.whinhead.gateway.endpoint.EndpointFailure;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.endpoint.EndpointResponseListener;
import org.whinhead.gateway.endpoint.MovedRun;
import org.whinhead.gateway.endpoint.ResponseEnd;
import org.whinhead.gateway.http.OverlongPart;
import org.whinhead.serving.admission.AdmissionDecision;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.crash.SuspectDecision;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.stream.StreamOrigin;

/**
 * Handles one admitted request from its first attempt to the end of its response.
 *
 * <p>At most one attempt is in progress at any time. An attempt without a response is followed by
 * another one only if the request certainly did not run or may run twice, and the attempt limit and
 * the retry budget allow it.
 */
final class Exchange
        implements ConnectionSearch.Listener,
                EndpointResponseListener,
                ResponseRelay.ProgressListener,
                RunMove.Listener,
                CallerRequestHandler.ActiveRequest {

    /**
     * The longest wait for the check of an endpoint before the next attempt. One that has crashed
     * refuses connections, or ends them, within less.
     */
    private static final Duration RETRY_CHECK_TIME = Duration.ofMillis(60);

    /** The same before a response that ended with its connection counts as complete. */
    private static final Duration END_CHECK_TIME = Duration.ofMillis(300);

    private static final int STATUS_CLASS = 100;
    private static final int SUCCESS_CLASS = 2;

    private static final String TIMED_OUT = "timed out";
    private static final String TOO_LATE = "read too late";
    private static final String STREAM_CUT = "stream ended within an event";

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final ByteBuf mBody;
    private final CallerResponse mResponse;
    private final String mService;
    private final ConnectionSearch mSearch;
    private final ResponseRelay mRelay;
    private final UsageRecorder mUsage;
    private final TrialRecorder mTrial;
    private final StreamTracker mStream;
    private final RefusalFactory mRefusals;
    private final CrashRecorder mCrashes;
    private final ExchangeTimers mTimers;
    private final RetryPermits mRetries;
    private final AttemptSender mSender;
    private Placement mPlacement;
    private EndpointConnection mConnection;
    private int mAttemptId;
    private RunMove mMove;
    private boolean mFinished;

    /** Whether the current attempt was sent and has not ended. */
    private boolean mIsSent;

    Exchange(
            final Exchanges exchanges,
            final AdmittedRequest admission,
            final Optional<StreamOrigin> origin,
            final ByteBuf body,
            final CallerResponse response) {
        mExchanges = exchanges;
        mAdmission = admission;
        mBody = body;
        mResponse = response;
        mService = origin.map(StreamOrigin::service).orElseGet(() -> selectService(admission));
        mCrashes = new CrashRecorder(exchanges, admission, body);
        mStream = new StreamTracker(exchanges, admission, mService, origin);
        mSearch =
                new ConnectionSearch(
                        exchanges,
                        admission,
                        mService,
                        mStream,
                        new ConnectionSearch.Conditions(mCrashes::isSuspect, this::mayBeSent),
                        this);
        mRelay =
                new ResponseRelay(
                        response,
                        admission.route().kind().isStream(),
                        admission.request().resumeAfter(),
                        this);
        mUsage = new UsageRecorder(exchanges.state(), admission);
        mTrial = new TrialRecorder(exchanges.state(), admission.route());
        mRefusals = new RefusalFactory(exchanges.state(), admission);
        mTimers = new ExchangeTimers(exchanges.loop());
        mRetries = new RetryPermits(exchanges, admission, mService);
        mSender = new AttemptSender(exchanges, admission, body);
    }

    private static String selectService(final AdmittedRequest admission) {
        return admission.route().selectService(admission.request().id().hashCode());
    }

    void start() {
        mExchanges.state().retryBudget().recordRequest(mService, now());
        mTimers.startDeadline(timeLeft(), this::deadlinePassed);
        if (timeLeft().compareTo(RetryPermits.MIN_TIME_LEFT) < 0) {
            refuse(TOO_LATE, mRefusals.givenUpRefusal(TOO_LATE));
        } else {
            startAttempt();
        }
    }

    /** Searches for an endpoint, unless endpoints crash under requests like this one. */
    private void startAttempt() {
        if (mayBeSent()) {
            mCrashes.start(this::attemptDecided);
        } else {
            refuseAsStopping();
        }
    }

    /**
     * Returns whether an attempt may be sent to an endpoint: the process must last as long as the
     * request may take. A response that has begun goes on, as not to go on would cut it at once.
     */
    private boolean mayBeSent() {
        return mRelay.isStarted() || mExchanges.state().outlasts(mAdmission.deadline());
    }

    @Override
    public void refuseAsStopping() {
        refuse(RefusalFactory.STOPPING, mRefusals.stoppingRefusal());
    }

    /** Refuses the request if it was not sent yet and may last longer than this process. */
    void refuseIfStopping() {
        if (!mFinished && !mIsSent && !mayBeSent()) {
            refuseAsStopping();
        }
    }

    /** Ends the request as the process is about to end, so that its caller gets an answer. */
    void answerBeforeExit(final StopLogger logger) {
        logger.unanswered(mAdmission, mPlacement, mSender.sentAt(), mRelay.forwardedBytes());
        logUnanswered();
        mTrial.attemptAbandoned();
        if (mSender.sends() > 0) {
            mRefusals.markMayHaveRun();
        }
        if (mRelay.isStarted()) {
            giveUp(RefusalFactory.STOPPING);
        } else {
            refuseAsStopping();
        }
    }

    private void attemptDecided(final SuspectDecision decision) {
        if (decision.isAllowed()) {
            mSearch.start();
        } else if (mRelay.isStarted()) {
            giveUp(RefusalFactory.SUSPECT);
        } else {
            final RefusalResponse refusal = mRefusals.suspectRefusal(decision.retryAfter());
            refuse(refusal.reason(), refusal);
        }
    }

    private Instant now() {
        return mExchanges.state().clock().instant();
    }

    private Duration timeLeft() {
        return Duration.between(now(), mAdmission.deadline());
    }

    @Override
    public void placed(final Placement placement) {
        mPlacement = placement;
        mCrashes.placed(placement.endpoint());
    }

    @Override
    public void connected(final EndpointConnection connection) {
        mConnection = connection;
        mIsSent = true;
        mSender.attemptStarts(mPlacement, mStream);
        mPlacement.recordSent(now());
        mTrial.attemptSent(mPlacement);
        mCrashes.attemptSent();
        mRelay.startAttempt();
        mSender.send(connection, mPlacement, mStream.priority(), mRelay.lastEventId(), this);
        startAttemptTimeout();
    }

    private void startAttemptTimeout() {
        final Route route = mAdmission.route();
        if (!route.canRunAgain()
                || route.kind().isStream()
                || mSender.sends() >= route.maxAttempts()) {
            return;
        }
        final int attemptId = mAttemptId;
        mTimers.startAttemptTimeout(route, () -> attemptTimedOut(attemptId));
    }

    private void attemptTimedOut(final int attemptId) {
        if (mFinished || attemptId != mAttemptId || mRelay.head() != null || !acquireRetry()) {
            return;
        }
        mPlacement.load().recordOutcome(true);
        UnfinishedResponse.log(mConnection, mRelay);
        mTrial.attemptAbandoned();
        mRefusals.markMayHaveRun();
        logUnanswered();
        endAttempt();
        startAttempt();
    }

    /** Logs the current attempt, if any, as given up. */
    private void logUnanswered() {
        if (mPlacement != null) {
            mExchanges
                    .requestLogger()
                    .attemptUnanswered(
                            mAdmission, mPlacement.endpoint(), Optional.ofNullable(mConnection));
        }
    }

    @Override
    public void notConnected(final String reason) {
        giveUp(reason);
    }

    @Override
    public void notAdmitted(final AdmissionDecision decision) {
        final Optional<Duration> pause = untilPauseEnds();
        if (pause.isPresent()) {
            refuse(decision.reason(), mRefusals.pausedRefusal(decision.reason(), pause.get()));
        } else {
            refuse(
                    decision.reason(),
                    mRefusals.notAdmittedRefusal(decision.reason(), decision.retryAfter()));
        }
    }

    @Override
    public void atRequestLimit(final List<EndpointEntry> endpoints) {
        if (mRelay.isStarted()) {
            giveUp(RefusalFactory.AT_REQUEST_LIMIT);
        } else {
            refuse(RefusalFactory.AT_REQUEST_LIMIT, mRefusals.requestLimitRefusal(endpoints));
        }
    }

    @Override
    public void headReceived(final EndpointResponse response) {
        final String requestId = mAdmission.request().id();
        if (response.isFromOtherEndpoint() && !response.namesOtherRequest(requestId)) {
            mExchanges.state().endpoints().markLeaving(EndpointStart.of(mPlacement.endpoint()));
        } else {
            mExchanges
                    .answers()
                    .record(mPlacement.endpoint(), response, requestId, mSender.sentAt());
        }
        final Optional<EndpointResponseFault> fault =
                EndpointResponseFault.of(response, requestId, mRelay.isStarted());
        if (fault.isPresent() && asksForPause(response)) {
            mConnection.pauseRequested(response.requestedPause().orElseThrow());
            retryOrGiveUp(fault.get().verdict(), fault.get().reason());
        } else if (fault.isPresent()) {
            mTrial.responseRejected(fault.get().verdict());
            attemptFailed(fault.get().verdict(), fault.get().reason());
        } else if (response.isServerError() && mAdmission.route().canRunAgain() && acquireRetry()) {
            mUsage.recordRun(mSender.sentAt());
            mTrial.answered(true);
            mRefusals.markMayHaveRun();
            mPlacement.load().recordOutcome(true);
            endAttempt();
            startAttempt();
        } else {
            mRelay.head(response);
        }
    }

    /** Returns whether the endpoint asks for a pause, which is no failure of it. */
    private boolean asksForPause(final EndpointResponse response) {
        return response.isFromEndpoint(mAdmission.request().id())
                && response.requestedPause().isPresent();
    }

    @Override
    public void bodyReceived(final ByteBuf bytes) {
        mRelay.forwardBody(bytes);
    }

    @Override
    public void generationStarted() {
        mStream.eventReceived(mPlacement.endpoint());
        mCrashes.eventReceived();
        mPlacement.recordToken(now());
        mTrial.firstToken();
        mUsage.recordRun(mSender.sentAt());
    }

    @Override
    public void callerLagging() {
        mPlacement.recordCallerDelay();
        if (mConnection != null) {
            mConnection.setReading(false);
        }
    }

    @Override
    public void eventOverlong() {
        mConnection.failOverlong(OverlongPart.EVENT);
    }

    @Override
    public void completed(final ResponseEnd end) {
        mConnection = null;
        if (mRelay.head() == null) {
            return;
        }
        if (end == ResponseEnd.CONNECTION_CLOSED) {
            mExchanges
                    .requestLogger()
                    .endedWithConnection(mAdmission, mPlacement.endpoint(), mRelay);
            endedWithConnection();
        } else if (mRelay.isComplete()) {
            responseCompleted(end == ResponseEnd.EXCEEDED);
        } else {
            mTrial.responseRejected(Verdict.MAY_HAVE_RUN);
            attemptFailed(Verdict.MAY_HAVE_RUN, STREAM_CUT);
        }
    }

    /**
     * Handles a response without a length whose connection was closed: it is complete, its endpoint
     * has crashed, or the run was stopped to be moved.
     */
    private void endedWithConnection() {
        if (mMove != null) {
            mMove.streamEnded();
            return;
        }
        if (!mRelay.isComplete() || mRelay.isEmptyStream()) {
            connectionLost(STREAM_CUT);
        } else if (!mExchanges.state().endpoints().isLeaving(mPlacement.endpoint().id())) {
            final int attemptId = mAttemptId;
            checkEndpoint(END_CHECK_TIME, crashed -> endpointChecked(attemptId, crashed));
        } else {
            // An endpoint that leaves accepts no connections once it has answered.
            responseCompleted(false);
        }
    }

    private void endpointChecked(final int attemptId, final boolean crashed) {
        if (mFinished || attemptId != mAttemptId) {
            return;
        }
        if (crashed) {
            attemptFailed(Verdict.MAY_HAVE_RUN, EndpointFailure.CONNECTION_LOST.name());
        } else {
            responseCompleted(false);
        }
    }

    private void checkEndpoint(final Duration limit, final Consumer<Boolean> checked) {
        mCrashes.connectionEnded(mPlacement.endpoint(), mSender.sentAt(), limit, checked);
    }

    /**
     * Ends an attempt that has lost its connection. The next one waits until it is known whether
     * the endpoint has crashed, since others may crash under the request as well.
     */
    private void connectionLost(final String reason) {
        mPlacement.load().recordOutcome(true);
        mConnection = null;
        final int attemptId = mAttemptId;
        if (mRetries.isUseful(mSender.sends(), mRelay.isStarted())) {
            checkEndpoint(
                    RETRY_CHECK_TIME,
                    crashed -> {
                        if (!mFinished && attemptId == mAttemptId) {
                            retryOrGiveUp(Verdict.MAY_HAVE_RUN, reason);
                        }
                    });
        } else {
            checkEndpoint(RETRY_CHECK_TIME, crashed -> {});
            retryOrGiveUp(Verdict.MAY_HAVE_RUN, reason);
        }
    }

    /** Passes on the response; its endpoint has failed if more than the response was received. */
    private void responseCompleted(final boolean isExceeded) {
        final EndpointResponse head = mRelay.head();
        // The run may have ended before its endpoint received the order to stop it.
        cancelMove();
        mUsage.recordRun(mSender.sentAt());
        mRelay.flush();
        mPlacement.load().recordOutcome(head.isServerError() || isExceeded);
        mExchanges.state().brittle().recordServed(mPlacement.endpoint());
        mTrial.answered(head.isServerError());
        if (head.isSuccess()) {
            mPlacement.recordCompleted(mAdmission.request().work().promptTokens() == 0, now());
            mCrashes.answered();
        }
        finish(head.isSuccess() ? "answered" : "answered with a failure", head.status().code());
        mResponse.finish();
    }

    @Override
    public void failed(final EndpointFailure failure) {
        if (mMove != null) {
            mConnection = null;
            mMove.streamEnded();
            return;
        }
        mTrial.connectionFailed(failure);
        if (failure == EndpointFailure.CONNECTION_LOST) {
            connectionLost(failure.name());
            return;
        }
        if (failure != EndpointFailure.RELAY_LOST) {
            mPlacement.load().recordOutcome(true);
        }
        retryOrGiveUp(failure.verdict(), failure.name());
    }

    @Override
    public void pathLost() {
        mTrial.pathLost();
        if (mMove == null && mAdmission.route().canRunAgain() && acquireRetry()) {
            mRefusals.markMayHaveRun();
            logUnanswered();
            endAttempt();
            startAttempt();
        }
    }

    private void attemptFailed(final Verdict verdict, final String reason) {
        mPlacement.load().recordOutcome(true);
        retryOrGiveUp(verdict, reason);
    }

    private void retryOrGiveUp(final Verdict verdict, final String reason) {
        if (verdict != Verdict.NOT_RUN) {
            mRefusals.markMayHaveRun();
        }
        mExchanges
                .requestLogger()
                .attemptFailed(
                        mAdmission, mPlacement.endpoint(), verdict, reason, mRelay.isStarted());
        endAttempt();
        final boolean mayHaveRun = mRelay.isStarted() || verdict != Verdict.NOT_RUN;
        final boolean allowed = !mayHaveRun || mAdmission.route().canRunAgain();
        if (allowed && acquireRetry()) {
            startAttempt();
        } else {
            giveUp(reason);
        }
    }

    /** Schedules the move of the run after a delay if it is at the leaving endpoint. */
    void endpointLeaving(final String endpoint, final Duration moveAfter) {
        final boolean running = !mFinished && mPlacement != null && mConnection != null;
        if (!running || !mPlacement.endpoint().id().equals(endpoint)) {
            return;
        }
        final int attemptId = mAttemptId;
        mExchanges
                .loop()
                .schedule(() -> move(attemptId), moveAfter.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void move(final int attemptId) {
        if (mFinished || attemptId != mAttemptId || mConnection == null || mMove != null) {
            return;
        }
        if (!mRelay.isStarted()) {
            redispatch();
        } else if (mRelay.isStream()) {
            mMove =
                    RunMove.start(
                                    mExchanges,
                                    mAdmission,
                                    mStream.candidates(true),
                                    mPlacement,
                                    this)
                            .orElse(null);
        }
    }

    /**
     * Sends a request that waits for its first token at a leaving endpoint to another one, if it
     * may run again. Otherwise the connection stays silent and the caller waits until its deadline.
     */
    private void redispatch() {
        final boolean hasUntriedEndpoint =
                mSearch.hasUntried(
                        mExchanges
                                .state()
                                .selection()
                                .withinLimits(
                                        mStream.candidates(true),
                                        mAdmission.request().id(),
                                        Duration.ZERO));
        if (hasUntriedEndpoint && mAdmission.route().canRunAgain() && acquireRetry()) {
            mRefusals.markMayHaveRun();
            endAttempt();
            startAttempt();
        }
    }

    @Override
    public void runMoved(final Placement at, final MovedRun run) {
        mMove = null;
        endAttempt();
        at.skipPrefill();
        mSender.continueRun(run, at.endpoint().id());
        final boolean isAtSource = at == mPlacement;
        mSearch.connectTo(at, isAtSource || !mAdmission.route().canRunAgain());
    }

    @Override
    public void moveFailed(final boolean streamEnded) {
        mMove = null;
        if (streamEnded) {
            connectionLost("run was not moved");
        }
    }

    private void cancelMove() {
        if (mMove != null) {
            mMove.cancel();
            mMove = null;
        }
    }

    /** Returns whether another attempt is allowed, and charges it to the retry budget if so. */
    private boolean acquireRetry() {
        return mayBeSent() && mRetries.acquire(mSender.sends(), mRelay.isStarted());
    }

    /** Ends the current attempt, if any, and invalidates its pending callbacks. */
    private void endAttempt() {
        mIsSent = false;
        mTimers.cancelAttemptTimeout();
        mSearch.cancel();
        if (mConnection != null) {
            mConnection.cancel();
            mConnection = null;
        }
        if (mPlacement != null) {
            mPlacement.release();
        }
        mTrial.attemptEnded();
        mCrashes.attemptEnded();
        mAttemptId++;
    }

    private void giveUp(final String reason) {
        if (mRelay.isStarted()) {
            mStream.brokenOff();
            finish("broken off: " + reason, 0);
            mResponse.abort();
        } else if (mStream.hasNoEndpoint()) {
            refuse(reason, mRefusals.cannotContinueRefusal(reason));
        } else {
            refuse(
                    reason,
                    untilPauseEnds()
                            .map(wait -> mRefusals.pausedRefusal(reason, wait))
                            .orElseGet(() -> mRefusals.givenUpRefusal(reason)));
        }
    }

    private Optional<Duration> untilPauseEnds() {
        return mExchanges.state().selection().untilPauseEnds(mService);
    }

    private void refuse(final String reason, final RefusalResponse refusal) {
        finish(reason, refusal.status().code());
        mResponse.refuse(refusal);
    }

    private void deadlinePassed() {
        if (mFinished) {
            return;
        }
        logUnanswered();
        UnfinishedResponse.record(mConnection, mRelay, mPlacement);
        mTrial.attemptAbandoned();
        if (mSender.sends() > 0) {
            mRefusals.markMayHaveRun();
        }
        if (mRelay.isStarted()) {
            giveUp(TIMED_OUT);
            return;
        }
        refuse(TIMED_OUT, mRefusals.timeoutRefusal(TIMED_OUT));
    }

    @Override
    public void callerDisconnected() {
        if (!mFinished) {
            logUnanswered();
            mTrial.attemptAbandoned();
            finish("caller left", 0);
        }
    }

    @Override
    public void callerCaughtUp() {
        if (mConnection != null) {
            mPlacement.recordCallerDelay();
            mConnection.setReading(true);
        }
    }

    private static boolean isSuccess(final int status) {
        return status / STATUS_CLASS == SUCCESS_CLASS;
    }

    private void finish(final String outcome, final int status) {
        mFinished = true;
        mExchanges.exchangeEnded(this);
        mTimers.cancelDeadline();
        cancelMove();
        endAttempt();
        mSearch.end(isSuccess(status));
        mBody.release();
        mRelay.release();
        mExchanges
                .requestLogger()
                .finished(mAdmission, mPlacement, mSender.sends(), outcome, status);
    }

    CallerRequest request() {
        return mAdmission.request();
    }
}
