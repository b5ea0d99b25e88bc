package org.whinhead.bench.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * Discrete-event simulation: runs actions in order of their simulated time, and those of the same
 * time in the order in which they were scheduled.
 */
public final class Simulation {

    /** Simulated time at the start of every run. */
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private Instant mNow = START;
    private long mSequence;

    /** Returns the simulated time. */
    public Instant now() {
        return mNow;
    }

    /**
     * Schedules an action.
     *
     * @param delay delay from the current simulated time
     * @param action action to run
     */
    public void schedule(final Duration delay, final Runnable action) {
        mEvents.add(new Event(mNow.plus(delay), mSequence++, action));
    }

    /**
     * Runs all events before an end time.
     *
     * @param length duration from {@link #START} to the end time, exclusive
     */
    public void runFor(final Duration length) {
        final Instant end = START.plus(length);
        while (!mEvents.isEmpty() && mEvents.peek().at().isBefore(end)) {
            final Event event = mEvents.remove();
            mNow = event.at();
            event.action().run();
        }
    }

    /** A scheduled action. */
    private record Event(Instant at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
