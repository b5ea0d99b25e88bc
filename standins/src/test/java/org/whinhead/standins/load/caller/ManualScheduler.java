package org.whinhead.standins.load.caller;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** A scheduler and clock that a test advances; tasks without a delay run at once. */
final class ManualScheduler extends ScheduledThreadPoolExecutor implements LongSupplier {

    private static final long NEVER_DUE_DAYS = 1000;

    private final AtomicLong mNow = new AtomicLong();
    private final List<ScheduledTask> mScheduled = new CopyOnWriteArrayList<>();

    ManualScheduler() {
        super(1);
    }

    @Override
    public ScheduledFuture<?> schedule(final Runnable task, final long delay, final TimeUnit unit) {
        if (delay <= 0) {
            return super.schedule(task, 0, unit);
        }
        final ScheduledFuture<?> future = super.schedule(task, NEVER_DUE_DAYS, TimeUnit.DAYS);
        mScheduled.add(new ScheduledTask(mNow.get() + unit.toNanos(delay), task, future));
        return future;
    }

    @Override
    public long getAsLong() {
        return mNow.get();
    }

    /** Advances the clock and runs the tasks that are due. */
    void advance(final Duration time) {
        final long now = mNow.addAndGet(time.toNanos());
        for (final ScheduledTask scheduled : mScheduled) {
            if (scheduled.at() <= now
                    && mScheduled.remove(scheduled)
                    && !scheduled.future().isCancelled()) {
                scheduled.task().run();
            }
        }
    }

    private record ScheduledTask(long at, Runnable task, ScheduledFuture<?> future) {}
}
