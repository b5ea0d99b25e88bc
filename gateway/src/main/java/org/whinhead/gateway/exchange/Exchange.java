package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.caller.CallerAnswer;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.CallerRequestHandler;
import org.whinhead.gateway.caller.Refusal;
import org.whinhead.gateway.endpoint.AnswerListener;
import org.whinhead.gateway.endpoint.EndpointAnswer;
import org.whinhead.gateway.endpoint.EndpointConnection;
import org.whinhead.gateway.endpoint.EndpointFailure;
import org.whinhead.gateway.endpoint.EndpointOrder;
import org.whinhead.gateway.endpoint.MovedRun;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.route.Route;

/**
 * The life of one admitted request.
 *
 * <p>At any time at most one attempt is under way. An attempt that ended without an answer is
 * followed by another one only if the request surely did not run or may run twice, and the budgets
 * allow it.
 */
final class Exchange
        implements AnswerListener,
                AnswerRelay.Progress,
                RunMove.Owner,
                CallerRequestHandler.Running {

    /**
     * Endpoints that are tried in vain, with nothing sent, before the caller is told to come back.
     */
    private static final int MOST_CONNECT_FAILURES = 4;

    /** Least time left for another attempt to be worth its cost. */
    private static final Duration LEAST_TIME_LEFT = Duration.ofMillis(30);

    private static final String TIMED_OUT = "timed out";
    private static final String TOO_LATE = "read too late";

    private final Exchanges mExchanges;
    private final Admission mAdmission;
    private final ByteBuf mBody;
    private final CallerAnswer mAnswer;
    private final String mService;
    private final Set<String> mTried = new HashSet<>();
    private final AnswerRelay mRelay;
    private final UsageMark mUsage;
    private final TrialMark mTrial;
    private final CallerEnding mEnding;
    private final ExchangeTimers mTimers;
    private Placement mPlacement;
    private EndpointConnection mConnection;
    private Instant mSentAt;
    private int mSends;
    private int mConnectFailures;
    private int mDispatch;
    private RunMove mMove;
    private MovedRun mContinued;
    private boolean mDone;

    Exchange(
            final Exchanges exchanges,
            final Admission admission,
            final ByteBuf body,
            final CallerAnswer answer) {
        mExchanges = exchanges;
        mAdmission = admission;
        mBody = body;
        mAnswer = answer;
        mService = admission.route().selectService(admission.request().id().hashCode());
        mRelay =
                new AnswerRelay(
                        answer,
                        admission.route().kind().isStream(),
                        admission.request().resumeAfter(),
                        this);
        mUsage = new UsageMark(exchanges.state(), admission);
        mTrial = new TrialMark(exchanges.state(), admission.route());
        mEnding = new CallerEnding(exchanges.state(), admission);
        mTimers = new ExchangeTimers(exchanges.loop());
    }

    void start() {
        mExchanges.state().retryBudget().recordRequest(mService, now());
        mTimers.startDeadline(timeLeft(), this::deadlinePassed);
        if (timeLeft().compareTo(LEAST_TIME_LEFT) < 0) {
            refuse(TOO_LATE, mEnding.givenUp(TOO_LATE));
        } else {
            dispatch();
        }
    }

    private Instant now() {
        return mExchanges.state().clock().instant();
    }

    private Duration timeLeft() {
        return Duration.between(now(), mAdmission.deadline());
    }

    private void dispatch() {
        final ServingState state = mExchanges.state();
        final Optional<Placement> place =
                state.chooser()
                        .place(
                                state.candidates(
                                        mService,
                                        mAdmission.route().name(),
                                        mAdmission.request().id(),
                                        !mTried.isEmpty()),
                                mAdmission.request().work(),
                                mTried,
                                state.copiesPrompts(mService),
                                now());
        if (place.isEmpty()) {
            giveUp("no endpoint left");
            return;
        }
        mPlacement = place.get();
        mTried.add(mPlacement.endpoint().id());
        open();
    }

    private void open() {
        mDispatch++;
        final int dispatch = mDispatch;
        mExchanges
                .connections()
                .open(
                        mPlacement.endpoint(),
                        connection -> opened(connection, dispatch),
                        () -> notConnected(dispatch));
    }

    private void opened(final EndpointConnection connection, final int dispatch) {
        if (mDone || dispatch != mDispatch) {
            connection.unused();
            return;
        }
        mConnection = connection;
        if (mContinued == null) {
            mSends++;
        }
        mSentAt = now();
        mTrial.sent(mPlacement);
        mRelay.startAttempt();
        final EndpointOrder order =
                new EndpointOrder(
                        mPlacement.endpoint(),
                        mAdmission.customerName(),
                        timeLeft(),
                        mAdmission.priority(),
                        mRelay.lastEvent(),
                        mContinued == null ? mPlacement.promptSource() : Optional.empty(),
                        Optional.ofNullable(mContinued));
        mContinued = null;
        connection.send(
                mExchanges.protocol().encode(mAdmission.request(), order, mBody.readableBytes()),
                mBody.retainedDuplicate(),
                this);
        watchPatience();
    }

    private void watchPatience() {
        final Route route = mAdmission.route();
        if (!route.canRunAgain() || route.kind().isStream() || mSends >= route.maxAttempts()) {
            return;
        }
        final int dispatch = mDispatch;
        mTimers.startPatience(route, () -> outOfPatience(dispatch));
    }

    private void outOfPatience(final int dispatch) {
        if (mDone || dispatch != mDispatch || mRelay.head() != null || !mayRetry()) {
            return;
        }
        mPlacement.load().recordOutcome(true);
        mTrial.outOfPatience();
        mEnding.mayHaveRun();
        leaveEndpoint();
        dispatch();
    }

    private void notConnected(final int dispatch) {
        if (mDone || dispatch != mDispatch) {
            return;
        }
        mPlacement.load().recordUnreachable(now());
        mPlacement.release();
        mConnectFailures++;
        if (mConnectFailures >= MOST_CONNECT_FAILURES) {
            giveUp("endpoints not reachable");
        } else {
            dispatch();
        }
    }

    @Override
    public void head(final EndpointAnswer answer) {
        if (answer.otherEndpoint()) {
            mExchanges.state().endpoints().markReplaced(mPlacement.endpoint().id());
        }
        final Optional<AnswerFault> fault =
                AnswerFault.of(answer, mAdmission.request().id(), mRelay.isStarted());
        if (fault.isPresent()) {
            mTrial.spoiled(fault.get().verdict());
            attemptFailed(fault.get().verdict(), fault.get().reason());
        } else if (answer.isServerError() && mAdmission.route().canRunAgain() && mayRetry()) {
            mUsage.ran(mSentAt);
            mTrial.answered(true);
            mEnding.mayHaveRun();
            mPlacement.load().recordOutcome(true);
            leaveEndpoint();
            dispatch();
        } else {
            mRelay.head(answer);
        }
    }

    @Override
    public void body(final ByteBuf bytes) {
        mRelay.body(bytes);
    }

    @Override
    public void generating() {
        mPlacement.recordFirstToken(now());
        mTrial.firstToken();
        mUsage.ran(mSentAt);
    }

    @Override
    public void callerLags() {
        if (mConnection != null) {
            mConnection.reading(false);
        }
    }

    @Override
    public void end() {
        mConnection = null;
        final EndpointAnswer head = mRelay.head();
        if (head == null) {
            return;
        }
        if (!mRelay.isWhole()) {
            mTrial.spoiled(Verdict.MAY_HAVE_RUN);
            attemptFailed(Verdict.MAY_HAVE_RUN, "stream ended within an event");
            return;
        }
        // The run may have been over before its endpoint got the order to stop it.
        dropMove();
        mUsage.ran(mSentAt);
        mRelay.passRest();
        mPlacement.load().recordOutcome(head.isServerError());
        mTrial.answered(head.isServerError());
        done(head.isSuccess() ? "answered" : "answered with a failure", head.status().code());
        mAnswer.finish();
    }

    @Override
    public void failed(final EndpointFailure failure) {
        if (mMove != null) {
            mConnection = null;
            mMove.streamEnded();
            return;
        }
        mTrial.connectionFailed(failure);
        attemptFailed(failure.verdict(), failure.name());
    }

    private void attemptFailed(final Verdict verdict, final String reason) {
        mPlacement.load().recordOutcome(true);
        if (verdict != Verdict.NOT_RUN) {
            mEnding.mayHaveRun();
        }
        mExchanges.journal().attemptFailed(mAdmission, mPlacement.endpoint(), verdict, reason);
        leaveEndpoint();
        final boolean begun = mRelay.isStarted() || verdict != Verdict.NOT_RUN;
        final boolean allowed = !begun || mAdmission.route().canRunAgain();
        if (allowed && mayRetry()) {
            dispatch();
        } else {
            giveUp(reason);
        }
    }

    /** Has the run moved in time, as its endpoint leaves before it may be over. */
    void endpointLeaves(final String endpoint, final Duration moveAfter) {
        final boolean running = !mDone && mPlacement != null && mConnection != null;
        if (!running || !mPlacement.endpoint().id().equals(endpoint)) {
            return;
        }
        final int dispatch = mDispatch;
        mExchanges
                .loop()
                .schedule(() -> move(dispatch), moveAfter.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void move(final int dispatch) {
        if (mDone || dispatch != mDispatch || mConnection == null || mMove != null) {
            return;
        }
        if (!mRelay.isStarted()) {
            sendElsewhere();
        } else if (mRelay.isStream()) {
            mMove = RunMove.start(mExchanges, mAdmission, mService, mPlacement, this).orElse(null);
        }
    }

    /**
     * Sends a request elsewhere that waits for its first token at an endpoint that is about to go,
     * if it may run again. Its connection would stay silent: the caller would hear nothing until
     * its deadline, as those did that waited at the last endpoints of a wave of reclaims.
     */
    private void sendElsewhere() {
        final boolean otherLeft =
                mExchanges.state().candidatesAgain(mService, mAdmission.request().id()).stream()
                        .anyMatch(candidate -> !mTried.contains(candidate.id()));
        if (otherLeft && mAdmission.route().canRunAgain() && mayRetry()) {
            mEnding.mayHaveRun();
            leaveEndpoint();
            dispatch();
        }
    }

    @Override
    public void goOn(final Placement at, final MovedRun run) {
        mMove = null;
        leaveEndpoint();
        mPlacement = at;
        at.skipPrefill();
        mTried.add(at.endpoint().id());
        mContinued = run;
        open();
    }

    @Override
    public void notMoved(final boolean streamEnded) {
        mMove = null;
        if (streamEnded) {
            attemptFailed(Verdict.MAY_HAVE_RUN, "run was not moved");
        }
    }

    private void dropMove() {
        if (mMove != null) {
            mMove.cancel();
            mMove = null;
        }
    }

    private boolean mayRetry() {
        return mSends < mAdmission.route().maxAttempts()
                && timeLeft().compareTo(LEAST_TIME_LEFT) > 0
                && (!mRelay.isStarted() || mAdmission.route().kind().isStream())
                && mExchanges.state().retryBudget().tryRetry(mService, now());
    }

    private void leaveEndpoint() {
        mTimers.cancelPatience();
        if (mConnection != null) {
            mConnection.cancel();
            mConnection = null;
        }
        if (mPlacement != null) {
            mPlacement.release();
        }
        mTrial.left();
        mDispatch++;
    }

    private void giveUp(final String reason) {
        if (mRelay.isStarted()) {
            done("broken off: " + reason, 0);
            mAnswer.abort();
            return;
        }
        refuse(reason, mEnding.givenUp(reason));
    }

    private void refuse(final String reason, final Refusal refusal) {
        done(reason, refusal.status().code());
        mAnswer.refuse(refusal);
    }

    private void deadlinePassed() {
        if (mDone) {
            return;
        }
        mTrial.outOfPatience();
        if (mSends > 0) {
            mEnding.mayHaveRun();
        }
        if (mRelay.isStarted()) {
            giveUp(TIMED_OUT);
            return;
        }
        refuse(TIMED_OUT, mEnding.timedOut(TIMED_OUT));
    }

    @Override
    public void callerLeft() {
        if (!mDone) {
            mTrial.outOfPatience();
            done("caller left", 0);
        }
    }

    @Override
    public void callerKeepsUp() {
        if (mConnection != null) {
            mConnection.reading(true);
        }
    }

    private void done(final String outcome, final int status) {
        mDone = true;
        mExchanges.ended(this);
        mTimers.cancelDeadline();
        dropMove();
        leaveEndpoint();
        mBody.release();
        mRelay.release();
        mExchanges.journal().finished(mAdmission, mPlacement, mSends, outcome, status);
    }

    CallerRequest request() {
        return mAdmission.request();
    }
}
