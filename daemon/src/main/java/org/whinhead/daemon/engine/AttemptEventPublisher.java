package org.whinhead.daemon.engine;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.request.AttemptId;
import org.whinhead.clients.http.HttpCall;
import org.whinhead.daemon.decision.DecisionEvent;
import org.whinhead.daemon.decision.DecisionLoop;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;

/**
 * Publishes one attempt's events to the decision loop in order; used on one IO thread.
 *
 * <p>A lost token event would leave a gap in the answer. While the decision ring is full, events
 * wait here, and reading from the endpoint's connection is paused until all of them are published.
 */
final class AttemptEventPublisher {

    private static final long RETRY_MILLIS = 1;

    private final AttemptId mAttempt;
    private final DecisionLoop mLoop;
    private final Runnable mOnEnd;
    private final Queue<AttemptEvent> mWaiting = new ArrayDeque<>();
    private HttpCall mCall;

    AttemptEventPublisher(final AttemptId attempt, final DecisionLoop loop, final Runnable onEnd) {
        mAttempt = attempt;
        mLoop = loop;
        mOnEnd = onEnd;
    }

    AttemptId attempt() {
        return mAttempt;
    }

    void setCall(final HttpCall call) {
        mCall = call;
    }

    void publishOpened(final String streamId) {
        publish(new AttemptEvent.Opened(mAttempt, streamId));
    }

    void publishToken(final long index, final String text) {
        publish(new AttemptEvent.Token(mAttempt, index, text));
    }

    /** Publishes the attempt's last event and runs the end callback. */
    void publishLast(final AttemptEvent event) {
        mOnEnd.run();
        publish(event);
    }

    void publishFailed(final AttemptFailure failure, final String detail) {
        publishLast(new AttemptEvent.Failed(mAttempt, failure, detail));
    }

    private void publish(final AttemptEvent event) {
        if (mWaiting.isEmpty() && mLoop.offer(new DecisionEvent.AttemptReported(event))) {
            return;
        }
        if (mWaiting.isEmpty()) {
            mCall.pause();
            retryLater();
        }
        mWaiting.add(event);
    }

    private void retryLater() {
        mCall.thread().executeAfter(this::retry, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void retry() {
        while (!mWaiting.isEmpty()) {
            if (!mLoop.offer(new DecisionEvent.AttemptReported(mWaiting.peek()))) {
                retryLater();
                return;
            }
            mWaiting.remove();
        }
        mCall.resume();
    }
}
