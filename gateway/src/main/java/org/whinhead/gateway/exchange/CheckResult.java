package org.whinhead.gateway.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The result of a check that a request waits for, for a limited time. */
final class CheckResult {

    private final Consumer<Boolean> mReceiver;
    private final Future<?> mTimeout;
    private boolean mReported;

    /**
     * Starts to wait.
     *
     * @param loop the event loop
     * @param limit the time after which the result is false
     * @param receiver receives the result, once
     */
    CheckResult(final EventLoop loop, final Duration limit, final Consumer<Boolean> receiver) {
        mReceiver = receiver;
        mTimeout = loop.schedule(() -> set(false), limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sets the result, unless the time is over. */
    void set(final boolean result) {
        if (!mReported) {
            mReported = true;
            mTimeout.cancel(false);
            mReceiver.accept(result);
        }
    }
}
