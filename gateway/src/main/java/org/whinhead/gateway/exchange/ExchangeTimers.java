package org.whinhead.gateway.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.whinhead.serving.route.Route;

/** The two timers of a request: the end of its time, and of the patience with its attempt. */
final class ExchangeTimers {

    /** Part of the target latency after which an idempotent request is sent to another endpoint. */
    private static final double ATTEMPT_TIMEOUT_SHARE = 0.6;

    private final EventLoop mLoop;
    private Future<?> mDeadline;
    private Future<?> mAttemptTimeout;

    ExchangeTimers(final EventLoop loop) {
        mLoop = loop;
    }

    /** Starts the time that the whole request has; one that is over ends at once. */
    void startDeadline(final Duration left, final Runnable passed) {
        mDeadline = mLoop.schedule(passed, left.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the time that an attempt has to answer. An answer that was lost on its way shows as
     * silence only; a request that may repeat need not wait for its deadline then.
     */
    void startAttemptTimeout(final Route route, final Runnable over) {
        final long millis = Math.round(route.targetLatency().toMillis() * ATTEMPT_TIMEOUT_SHARE);
        mAttemptTimeout = mLoop.schedule(over, millis, TimeUnit.MILLISECONDS);
    }

    /** Drops the patience with an attempt that has ended. */
    void cancelAttemptTimeout() {
        if (mAttemptTimeout != null) {
            mAttemptTimeout.cancel(false);
        }
    }

    /** Drops the deadline of a request that has ended. */
    void cancelDeadline() {
        mDeadline.cancel(false);
    }
}
