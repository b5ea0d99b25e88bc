package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.util.concurrent.Future;
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
import org.whinhead.gateway.endpoint.MoveOutcome;
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
final class Exchange implements AnswerListener, CallerRequestHandler.Running {

    /**
     * Answers up to this size are kept until they are whole, so that a broken one can be retried.
     */
    private static final int KEPT_ANSWER_BYTES = 256 * 1024;

    /**
     * Endpoints that are tried in vain, with nothing sent, before the caller is told to come back.
     */
    private static final int MOST_CONNECT_FAILURES = 4;

    /** How long the last events of a stopped run may take behind the answer that it was stopped. */
    private static final Duration STREAM_END_PATIENCE = Duration.ofMillis(150);

    /** Part of the target latency after which an idempotent request is sent to another endpoint. */
    private static final double PATIENCE_PART = 0.6;

    /** Least time left for another attempt to be worth its cost. */
    private static final Duration LEAST_TIME_LEFT = Duration.ofMillis(30);

    /** Longest time after which a caller with a request that did not run is asked to come back. */
    private static final Duration LONGEST_RETRY_AFTER = Duration.ofMillis(300);

    /** Part of the caller's remaining time that it should wait before it comes back. */
    private static final int RETRY_AFTER_DIVISOR = 12;

    private final Exchanges mExchanges;
    private final Admission mAdmission;
    private final ByteBuf mBody;
    private final CallerAnswer mAnswer;
    private final String mService;
    private final Set<String> mTried = new HashSet<>();
    private final EventSplitter mEvents = new EventSplitter(ByteBufAllocator.DEFAULT);
    private final ByteBuf mKept = ByteBufAllocator.DEFAULT.buffer(0);
    private Future<?> mDeadlineTimer;
    private Future<?> mPatienceTimer;
    private Placement mPlacement;
    private EndpointConnection mConnection;
    private EndpointAnswer mHead;
    private Optional<String> mLastEvent;
    private Instant mSentAt;
    private int mSends;
    private int mConnectFailures;
    private int mDispatch;
    private RunMove mMove;
    private MovedRun mContinued;
    private boolean mMayHaveRun;
    private boolean mCounted;
    private boolean mStarted;
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
        mService = admission.route().service(admission.request().id().hashCode());
        mLastEvent = admission.request().resumeAfter();
    }

    void start() {
        final Instant now = now();
        mExchanges.state().retryBudget().request(mService, now);
        mDeadlineTimer =
                mExchanges
                        .loop()
                        .schedule(
                                this::deadlinePassed,
                                Duration.between(now, mAdmission.deadline()).toMillis(),
                                TimeUnit.MILLISECONDS);
        dispatch();
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
                                state.endpoints().usable(mService),
                                mAdmission.request().work(),
                                mTried,
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
        mHead = null;
        final EndpointOrder order =
                new EndpointOrder(
                        mPlacement.endpoint(),
                        mAdmission.customerName(),
                        timeLeft(),
                        mAdmission.priority(),
                        mLastEvent,
                        Optional.ofNullable(mContinued));
        mContinued = null;
        connection.send(
                mExchanges.protocol().encode(mAdmission.request(), order, mBody.readableBytes()),
                mBody.retainedDuplicate(),
                this);
        watchPatience();
    }

    /**
     * An answer that was lost on its way shows as silence; a request that may repeat need not wait.
     */
    private void watchPatience() {
        final Route route = mAdmission.route();
        if (!route.mayRunAgain() || route.kind().isStream() || mSends >= route.maxAttempts()) {
            return;
        }
        final int dispatch = mDispatch;
        mPatienceTimer =
                mExchanges
                        .loop()
                        .schedule(
                                () -> outOfPatience(dispatch),
                                Math.round(route.targetLatency().toMillis() * PATIENCE_PART),
                                TimeUnit.MILLISECONDS);
    }

    private void outOfPatience(final int dispatch) {
        if (mDone || dispatch != mDispatch || mHead != null || !mayRetry()) {
            return;
        }
        mPlacement.load().outcome(true);
        mMayHaveRun = true;
        leaveEndpoint();
        dispatch();
    }

    private void notConnected(final int dispatch) {
        if (mDone || dispatch != mDispatch) {
            return;
        }
        mPlacement.load().unreachable(now());
        mPlacement.ended();
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
            mExchanges.state().endpoints().replacedAtAddress(mPlacement.endpoint().id());
            attemptFailed(Verdict.NOT_RUN, "address belongs to another endpoint");
        } else if (answer.notRun()) {
            attemptFailed(Verdict.NOT_RUN, "endpoint refused");
        } else if (!answer.requestId().equals(Optional.of(mAdmission.request().id()))) {
            attemptFailed(Verdict.MAY_HAVE_RUN, "answer of another request");
        } else if (!answer.genuine()) {
            attemptFailed(Verdict.MAY_HAVE_RUN, "answer not signed by its endpoint");
        } else if (answer.isServerError() && mAdmission.route().mayRunAgain() && mayRetry()) {
            countUsage();
            mMayHaveRun = true;
            mPlacement.load().outcome(true);
            leaveEndpoint();
            dispatch();
        } else {
            mHead = answer;
        }
    }

    private boolean isStream() {
        return mAdmission.route().kind().isStream() && mHead.isSuccess();
    }

    @Override
    public void body(final ByteBuf bytes) {
        if (isStream()) {
            mEvents.add(bytes);
            passEvents();
        } else if (mStarted) {
            pass(bytes.retain());
        } else {
            mKept.writeBytes(bytes);
            if (mKept.readableBytes() > KEPT_ANSWER_BYTES) {
                startAnswer();
                pass(mKept.readRetainedSlice(mKept.readableBytes()));
            }
        }
    }

    private void passEvents() {
        Optional<ByteBuf> event = mEvents.next();
        while (event.isPresent() && !mDone) {
            passEvent(event.get());
            event = mEvents.next();
        }
    }

    private void passEvent(final ByteBuf event) {
        final Optional<String> id = EventSplitter.id(event);
        if (id.isPresent() && mLastEvent.isPresent() && !follows(id.get(), mLastEvent.get())) {
            event.release();
            return;
        }
        mPlacement.promptRead();
        countUsage();
        startAnswer();
        pass(event);
        if (id.isPresent()) {
            mLastEvent = id;
        }
    }

    /** Tells whether an event comes behind another one; ids that are no numbers are taken to. */
    private static boolean follows(final String id, final String last) {
        try {
            return Long.parseLong(id) > Long.parseLong(last);
        } catch (NumberFormatException e) {
            return !id.equals(last);
        }
    }

    private void startAnswer() {
        if (!mStarted) {
            mStarted = true;
            if (isStream()) {
                mHead.passed().remove(HttpHeaderNames.CONTENT_LENGTH);
            }
            mAnswer.start(mHead);
        }
    }

    private void pass(final ByteBuf bytes) {
        if (!mAnswer.write(bytes) && mConnection != null) {
            mConnection.reading(false);
        }
    }

    private void countUsage() {
        if (mCounted) {
            return;
        }
        mCounted = true;
        final ServingState state = mExchanges.state();
        final Instant began =
                mAdmission.route().kind().isStream()
                        ? state.timeOfDay().instant()
                        : state.timeOfDay().instant().minus(Duration.between(mSentAt, now()));
        mAdmission
                .customerName()
                .ifPresent(
                        customer -> state.usage().began(state.usageWindows().at(began), customer));
    }

    @Override
    public void end() {
        mConnection = null;
        if (mHead == null) {
            return;
        }
        if (mMove != null && mEvents.pendingBytes() == 0) {
            // The run may have been over before the source got the order to stop it.
            mMove.target().ended();
            mMove = null;
        }
        if (isStream() && mEvents.pendingBytes() > 0) {
            attemptFailed(Verdict.MAY_HAVE_RUN, "stream ended within an event");
            return;
        }
        countUsage();
        startAnswer();
        if (mKept.isReadable()) {
            pass(mKept.readRetainedSlice(mKept.readableBytes()));
        }
        mPlacement.load().outcome(mHead.isServerError());
        final String outcome = mHead.isSuccess() ? "answered" : "answered with a failure";
        done(outcome, mHead.status().code());
        mAnswer.finish();
    }

    @Override
    public void failed(final EndpointFailure failure) {
        if (mMove != null) {
            mConnection = null;
            mMove.streamEnded();
            goOnIfMoved();
            return;
        }
        attemptFailed(failure.verdict(), failure.name());
    }

    private void attemptFailed(final Verdict verdict, final String reason) {
        mPlacement.load().outcome(true);
        mMayHaveRun |= verdict != Verdict.NOT_RUN;
        mExchanges.journal().attemptFailed(mAdmission, mPlacement.endpoint(), verdict, reason);
        leaveEndpoint();
        final boolean allowed = verdict == Verdict.NOT_RUN || mAdmission.route().mayRunAgain();
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
        final boolean movable = mStarted && mConnection != null && isStream() && mMove == null;
        if (mDone || dispatch != mDispatch || !movable) {
            return;
        }
        final ServingState state = mExchanges.state();
        final Optional<Placement> target =
                state.chooser()
                        .place(
                                state.endpoints().usable(mService),
                                mAdmission.request().work(),
                                Set.of(mPlacement.endpoint().id()),
                                now());
        if (target.isEmpty() || !state.retryBudget().tryRetry(mService, now())) {
            target.ifPresent(Placement::ended);
            return;
        }
        mMove = new RunMove(target.get());
        final RunMove move = mMove;
        mExchanges
                .mover()
                .move(mPlacement.endpoint(), mAdmission.request().id(), target.get().endpoint())
                .whenComplete((outcome, failure) -> moved(move, outcome, failure));
    }

    private void moved(final RunMove move, final MoveOutcome outcome, final Throwable failure) {
        if (mDone || mMove != move) {
            move.target().ended();
            return;
        }
        mExchanges
                .journal()
                .moved(mAdmission, mPlacement.endpoint(), move.target(), outcome, failure);
        if (failure != null || outcome.run().isEmpty()) {
            mMove = null;
            move.target().ended();
            if (move.isStreamEnded()) {
                attemptFailed(Verdict.MAY_HAVE_RUN, "run was not moved");
            }
            return;
        }
        move.stopped(outcome.run().get(), outcome.copied() ? move.target() : mPlacement);
        if (!move.isStreamEnded()) {
            mExchanges
                    .loop()
                    .schedule(
                            () -> endOldStream(move),
                            STREAM_END_PATIENCE.toMillis(),
                            TimeUnit.MILLISECONDS);
        }
        goOnIfMoved();
    }

    private void endOldStream(final RunMove move) {
        if (!mDone && mMove == move && !move.isStreamEnded()) {
            move.streamEnded();
            goOnIfMoved();
        }
    }

    private void goOnIfMoved() {
        if (mMove == null || !mMove.isComplete()) {
            return;
        }
        final RunMove move = mMove;
        mMove = null;
        leaveEndpoint();
        mPlacement = move.goesOnAt();
        mTried.add(mPlacement.endpoint().id());
        mContinued = move.run();
        open();
    }

    private boolean mayRetry() {
        return mSends < mAdmission.route().maxAttempts()
                && timeLeft().compareTo(LEAST_TIME_LEFT) > 0
                && (!mStarted || mAdmission.route().kind().isStream())
                && mExchanges.state().retryBudget().tryRetry(mService, now());
    }

    private void leaveEndpoint() {
        if (mPatienceTimer != null) {
            mPatienceTimer.cancel(false);
        }
        if (mConnection != null) {
            mConnection.cancel();
            mConnection = null;
        }
        if (mPlacement != null) {
            mPlacement.ended();
        }
        mKept.clear();
        mDispatch++;
        mEvents.clear();
    }

    private void giveUp(final String reason) {
        if (mStarted) {
            done("broken off: " + reason, 0);
            mAnswer.abort();
            return;
        }
        final Refusal refusal;
        if (mMayHaveRun) {
            refusal = Refusal.mayHaveRun(reason);
        } else {
            refund();
            refusal = Refusal.notRun(reason, retryAfter());
        }
        done(reason, refusal.status().code());
        mAnswer.refuse(refusal);
    }

    private void refund() {
        mAdmission
                .customerName()
                .ifPresent(
                        customer ->
                                mExchanges.state().quotas().refund(customer, mAdmission.tokens()));
    }

    private Duration retryAfter() {
        final Duration part = timeLeft().dividedBy(RETRY_AFTER_DIVISOR);
        return part.compareTo(LONGEST_RETRY_AFTER) < 0 ? part : LONGEST_RETRY_AFTER;
    }

    private void deadlinePassed() {
        if (mDone) {
            return;
        }
        mMayHaveRun |= mSends > 0;
        if (mStarted || !mMayHaveRun) {
            giveUp("timed out");
            return;
        }
        done("timed out", Refusal.timedOut().status().code());
        mAnswer.refuse(Refusal.timedOut());
    }

    @Override
    public void callerLeft() {
        if (!mDone) {
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
        mDeadlineTimer.cancel(false);
        if (mMove != null) {
            mMove.target().ended();
        }
        leaveEndpoint();
        mBody.release();
        mKept.release();
        mEvents.release();
        mExchanges.journal().finished(mAdmission, mPlacement, mSends, outcome, status);
    }

    CallerRequest request() {
        return mAdmission.request();
    }
}
