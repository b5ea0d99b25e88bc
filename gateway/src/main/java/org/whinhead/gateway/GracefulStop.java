package org.whinhead.gateway;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.caller.CallerHttpServer;
import org.whinhead.gateway.exchange.Exchanges;
import org.whinhead.gateway.http.SimpleHttpServer;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.stop.StopSchedule;

/** Carries out a graceful stop on the connections of callers, step by step of its schedule. */
final class GracefulStop {

    private static final Logger LOG = LoggerFactory.getLogger(GracefulStop.class);

    private static final int CHECK_INTERVAL_MILLIS = 20;

    private final EventLoop mLoop;
    private final InstantSource mClock;
    private final CallerHttpServer mCallers;
    private final Exchanges mExchanges;
    private final SimpleHttpServer mStatus;
    private final IntSupplier mRelayed;
    private boolean mAnsweredLast;
    private boolean mEnded;

    /**
     * Creates a stop that has not begun.
     *
     * @param loop the event loop on which all work runs
     * @param clock the monotonic clock
     * @param callers the connections of callers
     * @param exchanges the requests in progress
     * @param status the ports that answer from memory
     * @param relayed returns the number of connections that are relayed for other daemons
     */
    GracefulStop(
            final EventLoop loop,
            final InstantSource clock,
            final CallerHttpServer callers,
            final Exchanges exchanges,
            final SimpleHttpServer status,
            final IntSupplier relayed) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mClock = Objects.requireNonNull(clock, "clock");
        mCallers = Objects.requireNonNull(callers, "callers");
        mExchanges = Objects.requireNonNull(exchanges, "exchanges");
        mStatus = Objects.requireNonNull(status, "status");
        mRelayed = Objects.requireNonNull(relayed, "relayed");
    }

    /**
     * Begins the stop.
     *
     * @param schedule the steps of the stop
     * @param ended called within the grace period, once nothing is left to be answered or the
     *     period is almost over
     */
    void begin(final StopSchedule schedule, final Runnable ended) {
        mExchanges.beginStop(schedule);
        scheduleAt(schedule.closesIdleAt(), mCallers::drainAfterRead);
        mLoop.scheduleWithFixedDelay(
                () -> GuardedTask.run(LOG, "stop", () -> advance(schedule, ended)),
                until(schedule.stopsAcceptingAt()),
                CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void scheduleAt(final Instant time, final Runnable step) {
        mLoop.schedule(step, until(time), TimeUnit.MILLISECONDS);
    }

    private long until(final Instant time) {
        return Math.max(0, Duration.between(mClock.instant(), time).toMillis());
    }

    private void advance(final StopSchedule schedule, final Runnable ended) {
        final Instant now = mClock.instant();
        mCallers.stopAccepting();
        if (!mAnsweredLast && !now.isBefore(schedule.lastAnswersAt())) {
            mAnsweredLast = true;
            mExchanges.answerBeforeExit();
            mCallers.refuseIncompleteRequests();
            // What was written is sent after this task.
            return;
        }
        final int busy = mCallers.busyConnectionCount() + mRelayed.getAsInt();
        if (busy == 0) {
            mStatus.drain();
        }
        final boolean done = busy == 0 && mStatus.busyConnectionCount() == 0;
        if (!mEnded && (done || !now.isBefore(schedule.exitsAt()))) {
            mEnded = true;
            mCallers.logUnfinished();
            LOG.atInfo()
                    .addKeyValue("busyConnections", busy)
                    .addKeyValue(
                            "stoppingMillis",
                            Duration.between(schedule.signalledAt(), now).toMillis())
                    .log("stopped");
            ended.run();
        }
    }
}
