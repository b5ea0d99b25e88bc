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

/** Records started attempts and counts deliveries and completions; fails on unexpected calls. */
final class RecordingActions implements RequestActions {

    private final Deque<AttemptId> mStarted = new ArrayDeque<>();
    private long mDelivered;
    private long mCompleted;

    /** Removes and returns the oldest started attempt. */
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
        throw new IllegalStateException("unexpected resume: no stream fails in this benchmark");
    }

    @Override
    public void move(
            final AttemptId attempt,
            final Endpoint from,
            final String streamId,
            final Endpoint to) {
        throw new IllegalStateException("unexpected move: no endpoint leaves in this benchmark");
    }

    @Override
    public void call(final AttemptId attempt, final Endpoint endpoint) {
        throw new IllegalStateException("unexpected call: this benchmark has no plain service");
    }

    @Override
    public void cancel(final AttemptId attempt, final Endpoint endpoint, final String streamId) {
        throw new IllegalStateException(
                "unexpected cancel: no caller disconnects in this benchmark");
    }

    @Override
    public void claim(final RequestId request) {
        throw new IllegalStateException(
                "unexpected claim: every request is idempotent in this benchmark");
    }

    @Override
    public void answer(final RequestId request, final PlainAnswer answer) {
        throw new IllegalStateException("unexpected answer: this benchmark has no plain service");
    }

    @Override
    public void refuse(final RequestId request, final Refusal refusal) {
        throw new IllegalStateException("unexpected refusal: " + refusal);
    }

    @Override
    public void release(final AttemptId attempt) {
        throw new IllegalStateException("unexpected release: no stream moves in this benchmark");
    }

    @Override
    public void ticket(final RequestId request, final Ticket ticket) {
        // The cost includes making the ticket, not sealing it, which the transport does.
    }

    @Override
    public void handBack(final RequestId request, final Ticket ticket, final Refusal refusal) {
        throw new IllegalStateException(
                "unexpected handBack: the daemon does not stop in this benchmark");
    }
}
