package org.whinhead.gateway.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.whinhead.serving.route.Route;

/** The two timers of a request: its deadline and the timeout of its current attempt. */
final class ExchangeTimers {

    /** The share of the target latency after which an idempotent request is sent again. */
    private static final double ATTEMPT_TIMEOUT_SHARE = 0.6;

    private final EventLoop mLoop;
    private Future<?> mDeadline;
    private Future<?> mAttemptTimeout;

    ExchangeTimers(final EventLoop loop) {
        mLoop = loop;
    }

    /** Starts the deadline timer of the whole request; with no time left it fires at once. */
    void startDeadline(final Duration left, final Runnable passed) {
        mDeadline = mLoop.schedule(passed, left.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the timeout of an attempt. A response that was lost on its way shows only as silence,
     * and a request that may run again need not wait for its deadline then.
     */
    void startAttemptTimeout(final Route route, final Runnable timedOut) {
        final long millis = Math.round(route.targetLatency().toMillis() * ATTEMPT_TIMEOUT_SHARE);
        mAttemptTimeout = mLoop.schedule(timedOut, millis, TimeUnit.MILLISECONDS);
    }

    /** Cancels the timeout of an attempt that has ended. */
    void cancelAttemptTimeout() {
        if (mAttemptTimeout != null) {
            mAttemptTimeout.cancel(false);
        }
    }

    /** Cancels the deadline timer of a request that has ended. */
    void cancelDeadline() {
        mDeadline.cancel(false);
    }
}
