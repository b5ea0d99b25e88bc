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

    final ByteBuf body() {
        return mBody;
    }

    /** Records what has become of the request; it releases the body from now on. */
    final void decided(final CallerRequestHandler.ActiveRequest successor) {
        mSuccessor = Optional.of(successor);
    }

    @Override
    public final void callerDisconnected() {
        if (mSuccessor.isPresent()) {
            mSuccessor.get().callerDisconnected();
        } else if (!mCallerDisconnected) {
            mCallerDisconnected = true;
            cancel();
            mBody.release();
        }
    }

    @Override
    public final void callerCaughtUp() {
        mSuccessor.ifPresent(CallerRequestHandler.ActiveRequest::callerCaughtUp);
    }
}
