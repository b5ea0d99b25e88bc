package org.whinhead.standins.clock;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Passes the current time to all registered tasks periodically, on one thread. */
public final class Ticker implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(Ticker.class);
    private static final Duration PERIOD = Duration.ofMillis(2);

    private final InstantSource mClock;
    private final List<Consumer<Instant>> mTasks = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService mThread;

    /** Creates a ticker and starts its thread. */
    public Ticker(final InstantSource clock) {
        mClock = clock;
        mThread =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            final Thread thread = new Thread(task, "standins-ticker");
                            thread.setDaemon(true);
                            return thread;
                        });
        mThread.scheduleWithFixedDelay(this::tick, 0, PERIOD.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Returns the current time. */
    public Instant now() {
        return mClock.instant();
    }

    /**
     * Adds a periodic task; it must not block.
     *
     * @param task receives the current time at each tick
     * @return an action that removes the task
     */
    public Runnable add(final Consumer<Instant> task) {
        mTasks.add(task);
        return () -> mTasks.remove(task);
    }

    @Override
    public void close() {
        mThread.shutdownNow();
    }

    private void tick() {
        for (final Consumer<Instant> task : mTasks) {
            try {
                task.accept(mClock.instant());
            } catch (final RuntimeException e) {
                // The executor drops a task that throws, which would stop every stand-in.
                LOG.error("periodic task of a stand-in failed", e);
            }
        }
    }
}
