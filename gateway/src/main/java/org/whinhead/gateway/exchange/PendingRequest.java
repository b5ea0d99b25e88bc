package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerRequestHandler;

/** A request that waits for a decision and is then started or refused, unless its caller leaves. */
abstract class PendingRequest implements CallerRequestHandler.ActiveRequest {

    private final ByteBuf mBody;
    private Optional<CallerRequestHandler.ActiveRequest> mSuccessor = Optional.empty();
    private boolean mCallerDisconnected;
    private Runnable mOnEnd = () -> {};

    /**
     * Creates a request that waits.
     *
     * @param body the body, which is released if the caller leaves before the decision
     */
    PendingRequest(final ByteBuf body) {
        mBody = Objects.requireNonNull(body, "body");
    }

    /** Ends the wait: no decision may follow. */
    abstract void cancel();

    /** Refuses the request as not run, as the process is about to end. */
    abstract CallerRequestHandler.ActiveRequest refuseAsStopping();

    /** Ends the wait with a refusal, as the process is about to end. */
    final void answerBeforeExit() {
        cancel();
        decided(refuseAsStopping());
    }

    final boolean isWaiting() {
        return mSuccessor.isEmpty() && !mCallerDisconnected;
    }

    /** Sets what runs once the request no longer waits. */
    final void onEnd(final Runnable onEnd) {
        mOnEnd = onEnd;
    }

    final ByteBuf body() {
        return mBody;
    }

    /** Records what has become of the request; it releases the body from now on. */
    final void decided(final CallerRequestHandler.ActiveRequest successor) {
        mSuccessor = Optional.of(successor);
        mOnEnd.run();
    }

    @Override
    public final void callerDisconnected() {
        if (mSuccessor.isPresent()) {
            mSuccessor.get().callerDisconnected();
        } else if (!mCallerDisconnected) {
            mCallerDisconnected = true;
            mOnEnd.run();
            cancel();
            mBody.release();
        }
    }

    @Override
    public final void callerCaughtUp() {
        mSuccessor.ifPresent(CallerRequestHandler.ActiveRequest::callerCaughtUp);
    }
}
