package org.whinhead.standins.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.whinhead.api.Arguments;

/** Simulates a weight store without HTTP; not thread-safe, and callers pass the current time. */
public final class WeightStoreSimulation {

    private static final double NANOS_PER_SECOND = 1e9;

    private final long mBytes;
    private final long mBytesPerSecond;
    private final int mMaxWaiting;
    private final Deque<Instant> mLoads = new ArrayDeque<>();

    /**
     * Creates an idle store.
     *
     * @param bytes the size of a model in bytes
     * @param bytesPerSecond the total rate of all loads
     * @param maxWaiting the maximum number of unfinished loads; more are refused
     */
    public WeightStoreSimulation(
            final long bytes, final long bytesPerSecond, final int maxWaiting) {
        mBytes = Arguments.requireAtLeast(bytes, 1, "bytes");
        mBytesPerSecond = Arguments.requireAtLeast(bytesPerSecond, 1, "bytesPerSecond");
        mMaxWaiting = maxWaiting;
    }

    /**
     * Queues a load behind the unfinished ones.
     *
     * @param now the time
     * @return the time at which the load ends, or empty if the queue is full
     */
    public Optional<Instant> load(final Instant now) {
        while (!mLoads.isEmpty() && !mLoads.getFirst().isAfter(now)) {
            mLoads.removeFirst();
        }
        if (mLoads.size() >= mMaxWaiting) {
            return Optional.empty();
        }
        final Instant start = mLoads.isEmpty() ? now : mLoads.getLast();
        final double seconds = (double) mBytes / mBytesPerSecond;
        mLoads.add(start.plus(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND))));
        return Optional.of(mLoads.getLast());
    }

    /** Returns the size of a model in bytes. */
    public long bytes() {
        return mBytes;
    }
}
