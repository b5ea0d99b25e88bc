package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** The simulated clock with its queue of scheduled events. */
public final class FakeClock {

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::sequence));
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private long mSequence;

    public Instant now() {
        return mNow;
    }

    /** Schedules an event after a delay in milliseconds. */
    public void schedule(final long millis, final Runnable work) {
        mEvents.add(new Event(mNow.plusMillis(millis), mSequence++, work));
    }

    /** Advances the clock and runs all events that fall due on the way. */
    public void advance(final Duration time) {
        final Instant end = mNow.plus(time);
        while (!mEvents.isEmpty() && !mEvents.peek().at().isAfter(end)) {
            final Event event = mEvents.remove();
            mNow = event.at();
            event.work().run();
        }
        mNow = end;
    }

    private record Event(Instant at, long sequence, Runnable work) {}
}
