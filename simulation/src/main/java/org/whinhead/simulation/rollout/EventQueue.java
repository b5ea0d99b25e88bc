package org.whinhead.simulation.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in the order of their simulated times. */
final class EventQueue {

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::sequence));
    private Instant mNow = Instant.EPOCH;
    private long mLastSequence;

    Instant now() {
        return mNow;
    }

    void schedule(final Duration delay, final Runnable action) {
        mLastSequence++;
        mEvents.add(new Event(mNow.plus(delay), mLastSequence, action));
    }

    /** Repeats an action at a fixed interval as long as the simulation runs. */
    void scheduleRepeating(final Duration interval, final Runnable action) {
        schedule(
                interval,
                () -> {
                    action.run();
                    scheduleRepeating(interval, action);
                });
    }

    void runUntil(final Instant end) {
        while (!mEvents.isEmpty() && !mEvents.peek().at().isAfter(end)) {
            final Event event = mEvents.poll();
            mNow = event.at();
            event.action().run();
        }
    }

    private record Event(Instant at, long sequence, Runnable action) {}
}
