package org.whinhead.bench.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/** Events in simulated time, run in order. */
public final class Simulation {

    /** The simulated time at which every run starts. */
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private Instant mNow = START;
    private long mSequence;

    /** Returns the simulated time. */
    public Instant now() {
        return mNow;
    }

    /**
     * Plans an action.
     *
     * @param delay how long from now
     * @param action what to do
     */
    public void schedule(final Duration delay, final Runnable action) {
        mEvents.add(new Event(mNow.plus(delay), mSequence++, action));
    }

    /**
     * Runs all events up to a moment.
     *
     * @param length how long from the start
     */
    public void runFor(final Duration length) {
        final Instant end = START.plus(length);
        while (!mEvents.isEmpty() && mEvents.peek().at().isBefore(end)) {
            final Event event = mEvents.remove();
            mNow = event.at();
            event.action().run();
        }
    }

    /** One planned action. */
    private record Event(Instant at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(final Event other) {
            final int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
