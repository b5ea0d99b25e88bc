package org.whinhead.standins.load.caller;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Timers and a clock that move only when the test says so; what is due at once runs at once. */
final class ManualTimers extends ScheduledThreadPoolExecutor implements LongSupplier {

    private static final long NEVER_DAYS = 1000;

    private final AtomicLong mNow = new AtomicLong();
    private final List<Due> mDue = new CopyOnWriteArrayList<>();

    ManualTimers() {
        super(1);
    }

    @Override
    public ScheduledFuture<?> schedule(final Runnable task, final long delay, final TimeUnit unit) {
        if (delay <= 0) {
            return super.schedule(task, 0, unit);
        }
        final ScheduledFuture<?> future = super.schedule(task, NEVER_DAYS, TimeUnit.DAYS);
        mDue.add(new Due(mNow.get() + unit.toNanos(delay), task, future));
        return future;
    }

    @Override
    public long getAsLong() {
        return mNow.get();
    }

    /** Moves the time and runs what is due by then. */
    void advance(final Duration time) {
        final long now = mNow.addAndGet(time.toNanos());
        for (final Due due : mDue) {
            if (due.at() <= now && mDue.remove(due) && !due.future().isCancelled()) {
                due.task().run();
            }
        }
    }

    private record Due(long at, Runnable task, ScheduledFuture<?> future) {}
}
