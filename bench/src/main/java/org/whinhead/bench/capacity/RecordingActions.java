package org.whinhead.bench.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.requests.Completion;
import org.whinhead.requests.PlainAnswer;
import org.whinhead.requests.RequestActions;
import org.whinhead.requests.Ticket;

/** Keeps the attempts that were started and counts what callers got; does nothing else. */
final class RecordingActions implements RequestActions {

    private final Deque<AttemptId> mStarted = new ArrayDeque<>();
    private long mDelivered;
    private long mCompleted;

    AttemptId nextStarted() {
        return mStarted.remove();
    }

    long delivered() {
        return mDelivered;
    }

    long completed() {
        return mCompleted;
    }

    @Override
    public void generate(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String deliveredText,
            final long deliveredTokens) {
        mStarted.add(attempt);
    }

    @Override
    public void deliver(final RequestId request, final long index, final String text) {
        mDelivered++;
    }

    @Override
    public void complete(final RequestId request, final Completion completion) {
        mCompleted++;
    }

    @Override
    public void resume(
            final AttemptId attempt,
            final Endpoint endpoint,
            final String streamId,
            final long fromIndex) {
        throw new IllegalStateException("nothing fails here");
    }

    @Override
    public void move(
            final AttemptId attempt,
            final Endpoint from,
            final String streamId,
            final Endpoint to) {
        throw new IllegalStateException("nothing leaves here");
    }

    @Override
    public void call(final AttemptId attempt, final Endpoint endpoint) {
        throw new IllegalStateException("no plain service here");
    }

    @Override
    public void cancel(final AttemptId attempt, final Endpoint endpoint, final String streamId) {
        throw new IllegalStateException("no caller hangs up here");
    }

    @Override
    public void claim(final RequestId request) {
        throw new IllegalStateException("every request is idempotent here");
    }

    @Override
    public void answer(final RequestId request, final PlainAnswer answer) {
        throw new IllegalStateException("no plain service here");
    }

    @Override
    public void refuse(final RequestId request, final Refusal refusal) {
        throw new IllegalStateException("refused: " + refusal);
    }

    @Override
    public void release(final AttemptId attempt) {
        throw new IllegalStateException("nothing moves here");
    }

    @Override
    public void ticket(final RequestId request, final Ticket ticket) {
        // A ticket is part of each answer's cost up to here; sealing it is the transport's.
    }

    @Override
    public void handBack(final RequestId request, final Ticket ticket, final Refusal refusal) {
        throw new IllegalStateException("the daemon does not stop here");
    }
}
